/** Why bytes from a peer could not be read. */
export interface TransportError {
  readonly tag: 'frameTooLarge' | 'malformedFrame' | 'protocolVersion';
  readonly step: 'receive';
  readonly peer: string;
  readonly message: string;
}
