/** One of our instances, as it announces itself to the others. */
export interface GatewayInstance {
  readonly name: string;
  /** Where it takes connections of the others. */
  readonly host: string;
  readonly port: number;
  readonly failureDomain: string;
  /** Share of a core that it can give to work for all. */
  readonly capacity: number;
}
