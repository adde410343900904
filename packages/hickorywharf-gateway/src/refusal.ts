/** An error response that the gateway generates itself. */
export interface Refusal {
  readonly tag:
    | 'invalidRequest'
    | 'bodyTooLarge'
    | 'unknownRoute'
    | 'unauthenticated'
    | 'notReady'
    | 'unconfirmed'
    | 'overloaded'
    | 'versionUnknown'
    | 'quarantined'
    | 'noEndpoint'
    | 'stopping'
    | 'deadlineExceeded'
    | 'endpointFailed'
    | 'timedOut'
    | 'interrupted';
  /** Title of the problem document. */
  readonly message: string;
  /** Delay before a retry; only for requests that did not run. */
  readonly retryAfterMilliseconds?: number;
}
