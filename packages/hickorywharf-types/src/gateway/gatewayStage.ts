/** Work that has to finish before a call of a route can run. */
export interface GatewayStage {
  readonly service: string;
  /** Positions of the stages whose results this one reads. */
  readonly after: readonly number[];
  /** Approximate memory of one result at the endpoint that holds it. */
  readonly resultBytes: number;
}
