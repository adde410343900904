/** A back end that the list of endpoints names. */
export interface GatewayEndpoint {
  /** One life of an endpoint; a new start is another. */
  readonly id: string;
  readonly service: string;
  readonly host: string;
  readonly port: number;
  readonly failureDomain: string;
  readonly isDraining: boolean;
  /** When this life began, in milliseconds since the epoch. */
  readonly startedAt: number;
  readonly slots: number;
}
