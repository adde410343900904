interface Readiness {
  readonly stopping: boolean;
  /** Sequence of the configuration in force; 0 for none. */
  readonly sequence: number;
  readonly connectedPeers: number;
}

/**
 * Returns why an entry is not ready for requests, or null where it is ready.
 *
 * @example
 *     getUnreadyReason({stopping: false, sequence: 3, connectedPeers: 2});
 */
export function getUnreadyReason(readiness: Readiness): string | null {
  const {stopping, sequence, connectedPeers} = readiness;
  if (stopping) return 'stopping: requests in flight are being finished';
  if (sequence > 0) return null;
  const peers =
    connectedPeers === 0
      ? 'no peer is connected'
      : `${connectedPeers} peers are connected and have given none yet`;
  return `no configuration yet: the store has given none and ${peers}`;
}
