/** A gateway instance as it announces itself to the others. */
export interface GatewayInstance {
  readonly name: string;
  /** Where it accepts connections from the other instances. */
  readonly host: string;
  readonly port: number;
  readonly failureDomain: string;
  /** Cores that it can use for work on behalf of other instances. */
  readonly capacity: number;
}
