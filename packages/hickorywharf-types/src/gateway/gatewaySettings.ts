/** What an instance of the gateway has to know before it starts. */
export interface GatewaySettings {
  readonly name: string;
  readonly failureDomain: string;
  /** Share of a core, or less where the network allows less. */
  readonly capacity: number;
  /** Where callers are served, as host and port. */
  readonly listen: {readonly host: string; readonly port: number};
  readonly readiness: {readonly host: string; readonly port: number};
  /** Where the other instances connect. */
  readonly peers: {readonly host: string; readonly port: number};
  /** Where other instances may be, to be asked while the store is out. */
  readonly seeds: ReadonlyArray<{readonly host: string; readonly port: number}>;
  /** Where metrics are read. */
  readonly metrics: {readonly host: string; readonly port: number};
  /** How long a planned stop may take. */
  readonly graceMilliseconds: number;
  /** After it no call with a key may go on that the store has not confirmed. */
  readonly revokeMilliseconds: number;
  /** After it an older configuration or a departed endpoint binds no more. */
  readonly applyMilliseconds: number;
  readonly drainMilliseconds: number;
  /** How long a missing entry may be a lapse after an outage of the store. */
  readonly lapseMilliseconds: number;
  /** Repeats for each request to a service. */
  readonly repeatRatio: number;
  readonly repeatWindowMilliseconds: number;
  /** Repeats that all instances may make beyond the ratio in a window. */
  readonly repeatAllowance: number;
}
