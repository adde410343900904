/** The head of an endpoint's answer. */
export interface ResponseHead {
  readonly status: number;
  /** The request that the endpoint says it answers; null if it does not say. */
  readonly requestId: string | null;
  /** The endpoint signed the answer as its own. */
  readonly isSigned: boolean;
  /** The endpoint states that it did not and will not run the request. */
  readonly isNotRun: boolean;
  /** The body is in a form that no caller asked for. */
  readonly isEncoded: boolean;
  /** The answer is a stream of events. */
  readonly isEventStream: boolean;
  /** Headers for the caller, names and values by turns. */
  readonly headers: readonly string[];
}
