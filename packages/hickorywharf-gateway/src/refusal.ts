/** An answer that the gateway gives itself. */
export interface Refusal {
  readonly tag:
    | 'invalidRequest'
    | 'bodyTooLarge'
    | 'unknownRoute'
    | 'unauthenticated'
    | 'notReady'
    | 'unconfirmed'
    | 'overloaded'
    | 'noEndpoint'
    | 'stopping'
    | 'deadlineExceeded'
    | 'endpointFailed'
    | 'timedOut';
  readonly message: string;
  /** When to come back; for requests that were not run. */
  readonly retryAfterMilliseconds?: number;
}
