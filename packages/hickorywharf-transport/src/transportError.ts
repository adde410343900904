/** Why a connection with a peer could not be made, or had to be closed. */
export interface TransportError {
  readonly tag:
    | 'frameTooLarge'
    | 'malformedFrame'
    | 'protocolVersion'
    | 'wrongPeer'
    | 'peerSilent'
    | 'peerReadsTooSlowly'
    | 'secureConnection';
  readonly step: 'connect' | 'receive' | 'send';
  readonly peer: string;
  readonly message: string;
}
