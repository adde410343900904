import type {Frame} from 'hickorywharf-types/frame';

type AttemptFrame = Extract<Frame, {tag: 'attempt'}>;
type EndingFrame = Extract<Frame, {tag: 'result' | 'failed' | 'refused'}>;

/**
 * Rows of an endpoint process's tables. Times are in monotonic milliseconds,
 * issue times in milliseconds since the Unix epoch.
 */
export interface EndpointRows {
  attempt: {
    readonly attemptId: string;
    /** Incarnation of the entry that waits for the outcome. */
    readonly peer: string;
    readonly frame: AttemptFrame;
    /**
     * A `claiming` attempt waits for the claim of its key in the store, a
     * `joined` one for the ending of another attempt with the same key.
     */
    state: 'claiming' | 'queued' | 'running' | 'joined' | 'finished';
    readonly arrivedAt: number;
    readonly deadlineAt: number;
    /** 0 until the attempt starts. */
    startedAt: number;
    /** True once cancellation was requested from the backend. */
    cancelled: boolean;
    /** Tokens received so far; the first is at `firstPosition`. */
    readonly tokens: string[];
    /** Number of tokens that earlier attempts have generated. */
    readonly firstPosition: number;
    ending: EndingFrame | null;
    /** 0 until the state is `finished`. */
    finishedAt: number;
    /** Estimated memory, set once the attempt has finished. */
    bytes: number;
  };
  /** Refuses an attempt whose frame may still be in flight. */
  tombstone: {readonly attemptId: string; readonly writtenAt: number};
  /** An attempt of an action that started; its row in `attempt` was evicted. */
  begunAction: {
    readonly attemptId: string;
    readonly idempotencyKey: string;
    readonly writtenAt: number;
  };
  /** A key of a non-idempotent request that this process has accepted. */
  action: {
    readonly idempotencyKey: string;
    /** Identifies the request: another one with the same key is a conflict. */
    readonly fingerprint: string;
    /** Null if the key has none; a claim in the store then protects it. */
    readonly issueTime: number | null;
    /** Partition, as `getPartitionId` identifies it. */
    readonly partitionId: string;
    /** The attempt that runs the action or waits to run it. */
    readonly attemptId: string;
    /** Later attempts with the same key, which wait for the same ending. */
    readonly joined: string[];
    state: 'claiming' | 'queued' | 'running' | 'finished';
    ending: EndingFrame | null;
    /** 0 until the state is `finished`. */
    finishedAt: number;
  };
  /**
   * A release of the interval with this epoch: keys issued from `until` on are
   * no longer accepted.
   */
  release: {readonly epoch: number; readonly until: number};
}
