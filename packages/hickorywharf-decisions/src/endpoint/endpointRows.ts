import type {Frame} from 'hickorywharf-types/frame';

type AttemptFrame = Extract<Frame, {tag: 'attempt'}>;
type EndingFrame = Extract<Frame, {tag: 'result' | 'failed' | 'refused'}>;

/** The rows of an endpoint process's tables. Times are monotonic milliseconds. */
export interface EndpointRows {
  attempt: {
    readonly attemptId: string;
    /** Name of the entry that waits for the outcome. */
    readonly peer: string;
    readonly frame: AttemptFrame;
    state: 'claiming' | 'queued' | 'running' | 'joined' | 'finished';
    readonly arrivedAt: number;
    readonly deadlineAt: number;
    startedAt: number;
    /** True once the backend was told to cancel the attempt. */
    cancelled: boolean;
    /** Tokens so far, from position `firstPosition`. */
    readonly tokens: string[];
    readonly firstPosition: number;
    ending: EndingFrame | null;
    finishedAt: number;
    bytes: number;
  };
  /** A refusal to come: the attempt's frame may still be under way. */
  tombstone: {readonly attemptId: string; readonly writtenAt: number};
  /** An action's attempt that began and whose own row was forgotten. */
  begunAction: {
    readonly attemptId: string;
    readonly idempotencyKey: string;
    readonly writtenAt: number;
  };
  /** A non-idempotent key that this home has taken. */
  action: {
    readonly idempotencyKey: string;
    /** What the request was: another one with the key is a conflict. */
    readonly fingerprint: string;
    /** Null where a claim in the store stands for the key. */
    readonly issueTime: number | null;
    /** Half and part, as `getPartitionId` names them. */
    readonly partitionId: string;
    /** The attempt that runs the action. */
    readonly attemptId: string;
    /** Attempts of other requests with the key, which wait for the same end. */
    readonly joined: string[];
    state: 'claiming' | 'queued' | 'running' | 'finished';
    ending: EndingFrame | null;
    finishedAt: number;
  };
  /** A home that is being given up: no key from `until` on is run again. */
  release: {readonly epoch: number; readonly until: number};
}
