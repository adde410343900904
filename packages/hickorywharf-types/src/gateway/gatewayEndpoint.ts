/** A back end on the list of endpoints. */
export interface GatewayEndpoint {
  /**
   * Id of the endpoint on the list. A restart usually gets another id;
   * `startedAt` distinguishes incarnations with the same id.
   */
  readonly id: string;
  readonly service: string;
  readonly host: string;
  readonly port: number;
  readonly failureDomain: string;
  readonly isDraining: boolean;
  /** Start of the incarnation, in milliseconds since the epoch. */
  readonly startedAt: number;
  /** Version of the endpoint's software; empty if it is not known. */
  readonly version: string;
  /** Calls that the endpoint runs in parallel. */
  readonly slots: number;
  /**
   * How much longer the endpoint is cold, as its entry states; left out if it
   * is not.
   */
  readonly coldMilliseconds?: number;
}
