/** The settings of a gateway instance. */
export interface GatewaySettings {
  readonly name: string;
  readonly failureDomain: string;
  /** Cores for work on behalf of other instances; fewer on a slow link. */
  readonly capacity: number;
  /** Memory that the process may use; left out if it is not bounded. */
  readonly memoryBytes?: number;
  /** Descriptors that the process may open; left out if not bounded. */
  readonly maximumDescriptors?: number;
  /** Where the instance accepts calls. */
  readonly listen: {readonly host: string; readonly port: number};
  /** Where the instance reports whether it is ready. */
  readonly readiness: {readonly host: string; readonly port: number};
  /** Where the instance accepts connections from other instances. */
  readonly peers: {readonly host: string; readonly port: number};
  /** Where other instances may run, to contact them during a store outage. */
  readonly seeds: ReadonlyArray<{readonly host: string; readonly port: number}>;
  /** Where the instance serves its metrics. */
  readonly metrics: {readonly host: string; readonly port: number};
  /** How long a planned stop may take. */
  readonly graceMilliseconds: number;
  /**
   * Time in which the revocation of a key has to take effect. Calls that need a
   * key are refused if the store has not confirmed the keys within this time.
   */
  readonly revokeMilliseconds: number;
  /** Time in which a new configuration has to take effect. */
  readonly applyMilliseconds: number;
  /** Time in which an endpoint's draining or departure has to take effect. */
  readonly drainMilliseconds: number;
  /**
   * Time in which the evacuation of a failure domain has to take effect; left
   * out where operators evacuate none.
   */
  readonly evacuateMilliseconds?: number;
  /**
   * Factor on the rate of a cold endpoint that it may get in any second, with
   * `coldSlackCalls` added; left out where endpoints have no such bound.
   */
  readonly coldOverageRatio?: number;
  /** Calls that a cold endpoint may get in any second beyond the factor. */
  readonly coldSlackCalls?: number;
  /**
   * How long after an outage of the store an endpoint without registration is
   * still used.
   */
  readonly lapseMilliseconds: number;
  /** Retries allowed for each request to a service within the window. */
  readonly repeatRatio: number;
  /** Length of the sliding window in which requests and retries count. */
  readonly repeatWindowMilliseconds: number;
  /** Retries in a window that all instances may send beyond the ratio. */
  readonly repeatAllowance: number;
  /** Limits of second attempts beside slow ones; left out for none. */
  readonly hedging?: {
    /** Second attempts allowed for each call to a service, of 0 to 1. */
    readonly callShare: number;
    /** Share of the endpoints' slots that they may occupy, of 0 to 1. */
    readonly roomShare: number;
  };
}
