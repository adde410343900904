import type {ScheduledCall} from './scheduledCall.ts';

/** Result of a scheduled call. Times count from its scheduled time. */
export interface CallRecord {
  readonly call: ScheduledCall;
  readonly requestId: string | null;
  readonly outcome: string;
  readonly detail: string;
  /** Whether the answer is complete and equals the expected one. */
  readonly isCorrect: boolean;
  /** Correct and within the pipeline's deadline. */
  readonly isGood: boolean;
  readonly latencyMilliseconds: number;
  /** Null if no token was received. */
  readonly firstTokenMilliseconds: number | null;
  /** Times between successive tokens. */
  readonly tokenGapMilliseconds: readonly number[];
}
