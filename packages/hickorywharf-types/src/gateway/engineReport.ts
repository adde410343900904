/**
 * What one or more instances know of the work at one model engine. Except for
 * the identity, the values of several instances can be added.
 */
export interface EngineReport {
  readonly endpointId: string;
  /** Start of the endpoint's incarnation, in milliseconds since the epoch. */
  readonly startedAt: number;
  /** Calls in progress, running or queued. */
  readonly running: number;
  /** Prompt tokens still to be read of the calls without a first event. */
  readonly pendingTokens: number;
  /** Prompt tokens of all calls in progress. */
  readonly memoryTokens: number;
  /** Times to first events that were observed lately. */
  readonly observedMilliseconds: number;
  /** The same times as expected of a usual engine. */
  readonly expectedMilliseconds: number;
}
