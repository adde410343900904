/** The settings of a gateway instance. */
export interface GatewaySettings {
  readonly name: string;
  readonly failureDomain: string;
  /** Cores for work on behalf of other instances; less on a slow link. */
  readonly capacity: number;
  /** Where the instance accepts calls. */
  readonly listen: {readonly host: string; readonly port: number};
  readonly readiness: {readonly host: string; readonly port: number};
  /** Where the instance accepts connections from other instances. */
  readonly peers: {readonly host: string; readonly port: number};
  /** Where other instances may run, to contact them during a store outage. */
  readonly seeds: ReadonlyArray<{readonly host: string; readonly port: number}>;
  /** Where the instance serves its metrics. */
  readonly metrics: {readonly host: string; readonly port: number};
  /** How long a planned stop may take. */
  readonly graceMilliseconds: number;
  /** Calls with a key stop when the store has not confirmed it for so long. */
  readonly revokeMilliseconds: number;
  /** Time in which a new configuration or a departure has to take effect. */
  readonly applyMilliseconds: number;
  /** Time in which an endpoint's draining has to take effect. */
  readonly drainMilliseconds: number;
  /** How long after a store outage a missing endpoint is still used. */
  readonly lapseMilliseconds: number;
  /** Retries for each request to a service. */
  readonly repeatRatio: number;
  readonly repeatWindowMilliseconds: number;
  /** Retries in a window that all instances may send beyond the ratio. */
  readonly repeatAllowance: number;
}
