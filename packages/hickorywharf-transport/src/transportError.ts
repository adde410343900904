/** Why a connection failed or was closed, or a frame was not sent. */
export interface TransportError {
  readonly tag:
    | 'frameTooLarge'
    | 'malformedFrame'
    | 'protocolVersion'
    | 'wrongPeer'
    | 'peerSilent'
    | 'peerReadsTooSlowly'
    | 'peerSentTooMuch'
    | 'secureConnection';
  readonly step: 'connect' | 'receive' | 'send';
  /** Name of the peer, or its address while the name is not known. */
  readonly peer: string;
  readonly message: string;
}
