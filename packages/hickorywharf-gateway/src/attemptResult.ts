import type {ResponseHead} from 'hickorywharf-types/gateway/responseHead';
import type {AttemptFailure} from './attemptFailure.ts';

/** Outcome of one attempt to run a call at an endpoint. */
export type AttemptResult =
  /** The whole response was passed to the caller. */
  | {readonly tag: 'delivered'}
  /** The endpoint provably did not run the call. */
  | {readonly tag: 'notRun'; readonly reason: string}
  /** A stage result that the call reads was dropped; the call did not run. */
  | {readonly tag: 'inputGone'}
  /** The endpoint returned a response with an error status. */
  | {readonly tag: 'failed'; readonly head: ResponseHead; readonly body: Buffer}
  /** No valid response arrived; the call may have run. */
  | {
      readonly tag: 'unknown';
      readonly failure: AttemptFailure;
      readonly reason: string;
    }
  /** The stream broke after events had been sent to the caller. */
  | {
      readonly tag: 'broken';
      readonly failure: AttemptFailure;
      readonly reason: string;
    }
  /** The call ended meanwhile: the caller disconnected or it timed out. */
  | {readonly tag: 'callerGone'};
