import type {ResponseHead} from 'hickorywharf-types/gateway/responseHead';

/** What one send of a call to one endpoint came to. */
export type AttemptResult =
  /** The caller has the whole answer. */
  | {readonly tag: 'delivered'}
  /** The endpoint cannot have run the call. */
  | {readonly tag: 'notRun'; readonly reason: string}
  /** A stage result that the endpoint should read is gone; it did not run. */
  | {readonly tag: 'inputGone'}
  /** The endpoint's own answer, which is no success. */
  | {readonly tag: 'failed'; readonly head: ResponseHead; readonly body: Buffer}
  /** The call may have run. */
  | {readonly tag: 'unknown'; readonly reason: string}
  /** The stream broke after events had gone to the caller. */
  | {readonly tag: 'broken'; readonly reason: string}
  | {readonly tag: 'callerGone'};
