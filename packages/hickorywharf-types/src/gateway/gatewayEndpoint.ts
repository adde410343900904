/** A back end on the list of endpoints. */
export interface GatewayEndpoint {
  /** Identifies one incarnation of an endpoint; a restart gets another. */
  readonly id: string;
  readonly service: string;
  readonly host: string;
  readonly port: number;
  readonly failureDomain: string;
  readonly isDraining: boolean;
  /** Start of the incarnation, in milliseconds since the epoch. */
  readonly startedAt: number;
  readonly slots: number;
}
