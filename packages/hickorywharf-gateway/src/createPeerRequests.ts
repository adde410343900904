import type {Instant} from 'hickorywharf-decisions/gateway/instant';
import type {Frame} from 'hickorywharf-types/frame';

interface PeerRequestsOptions {
  /** How long the sender of a request waits for the reply, in milliseconds. */
  readonly timeoutMilliseconds: number;
  getInstant(): Instant;
  /** Sends a frame to a peer by name; false if it could not be sent. */
  send(peer: string, frame: Frame): boolean;
  /** Called when a request could not be sent. */
  onUnsent(peer: string): void;
  /** Called for each wait for a reply that timed out. */
  onTimeout(peer: string): void;
}

interface PeerRequest {
  readonly peer: string;
  readonly frame: Frame;
  readonly sentAt: Instant;
  /** Whether the reply came after the timeout. */
  readonly isLate: boolean;
  /** Ends the waits for the reply. */
  finish(): void;
}

interface PendingRequest {
  readonly id: number;
  readonly peer: string;
  readonly frame: Frame;
  readonly sentAt: Instant;
  /** Called with whether the reply came, once the request has ended. */
  readonly waits: Set<(hasReply: boolean) => void>;
}

interface PeerRequests {
  /**
   * Waits for the reply of a peer; sends a request if none is pending there.
   * False if it could not be sent, or was not replied to before the timeout.
   */
  request(peer: string, createFrame: (id: number) => Frame): Promise<boolean>;
  /** The peer to which a request is pending; undefined if there is none. */
  findPendingPeer(): string | undefined;
  /** The pending request that a reply belongs to; it is no longer pending. */
  take(id: number): PeerRequest | undefined;
  /** Ends the request to a peer whose connection is lost. */
  drop(peer: string): void;
}

/**
 * A reply over an open connection is still expected for so long, since a large
 * one may take long on a slow link. Then the request may be sent again.
 */
const PENDING_MILLISECONDS = 5000;

/**
 * Tracks requests to peers, at most one at a time to each. A request stays
 * pending after its timeout: the peer is sending the reply, and a further
 * request would only add another one to the same link.
 *
 * @example
 *     const requests = createPeerRequests(options);
 *     await requests.request('front-2', (askId) => ({tag: 'askConfiguration', askId}));
 */
export function createPeerRequests(options: PeerRequestsOptions): PeerRequests {
  const {timeoutMilliseconds, getInstant, send} = options;
  const pendingByPeer = new Map<string, PendingRequest>();
  let lastId = 0;

  function isExpired({sentAt}: PendingRequest): boolean {
    const elapsed = getInstant().monotonic - sentAt.monotonic;
    return elapsed >= PENDING_MILLISECONDS;
  }

  function findPending(peer: string): PendingRequest | undefined {
    const pending = pendingByPeer.get(peer);
    return pending === undefined || isExpired(pending) ? undefined : pending;
  }

  function endWaits({waits}: PendingRequest, hasReply: boolean): void {
    for (const end of waits) end(hasReply);
    waits.clear();
  }

  function drop(peer: string): void {
    const pending = pendingByPeer.get(peer);
    pendingByPeer.delete(peer);
    if (pending !== undefined) endWaits(pending, false);
  }

  function start(
    peer: string,
    createFrame: (id: number) => Frame,
  ): PendingRequest | undefined {
    drop(peer);
    lastId += 1;
    const pending: PendingRequest = {
      id: lastId,
      peer,
      frame: createFrame(lastId),
      sentAt: getInstant(),
      waits: new Set(),
    };
    // Before sending, since a reply may arrive at once.
    pendingByPeer.set(peer, pending);
    if (send(peer, pending.frame)) return pending;
    drop(peer);
    options.onUnsent(peer);
    return undefined;
  }

  function wait({peer, waits}: PendingRequest): Promise<boolean> {
    return new Promise((resolve) => {
      const timer = setTimeout(() => {
        waits.delete(end);
        options.onTimeout(peer);
        resolve(false);
      }, timeoutMilliseconds);
      const end = (hasReply: boolean): void => {
        clearTimeout(timer);
        resolve(hasReply);
      };
      waits.add(end);
    });
  }

  return {
    async request(peer, createFrame) {
      const pending = findPending(peer) ?? start(peer, createFrame);
      if (pending === undefined) return false;
      // Not pending any more if the reply arrived while the request was sent.
      return pendingByPeer.get(peer) === pending ? wait(pending) : true;
    },
    findPendingPeer: () =>
      [...pendingByPeer.values()].find((pending) => !isExpired(pending))?.peer,
    take(id) {
      for (const pending of pendingByPeer.values()) {
        if (pending.id !== id) continue;
        pendingByPeer.delete(pending.peer);
        const {peer, frame, sentAt} = pending;
        const elapsed = getInstant().monotonic - sentAt.monotonic;
        const isLate = elapsed > timeoutMilliseconds;
        const finish = (): void => endWaits(pending, true);
        return {peer, frame, sentAt, isLate, finish};
      }
      return undefined;
    },
    drop,
  };
}
