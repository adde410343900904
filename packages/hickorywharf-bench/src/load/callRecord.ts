import type {ScheduledCall} from './scheduledCall.ts';

/** What became of a scheduled call, in times since it was meant to be sent. */
export interface CallRecord {
  readonly call: ScheduledCall;
  readonly requestId: string | null;
  readonly outcome: string;
  readonly detail: string;
  readonly isCorrect: boolean;
  /** Whole, correct and within the deadline. */
  readonly isGood: boolean;
  readonly latencyMilliseconds: number;
  readonly firstTokenMilliseconds: number | null;
  readonly tokenGaps: readonly number[];
}
