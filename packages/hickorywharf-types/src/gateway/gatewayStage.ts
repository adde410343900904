/** Work that has to finish before a call of a route can run. */
export interface GatewayStage {
  /** Name of the service that computes the pieces of the stage. */
  readonly service: string;
  /** Positions of the stages whose results this one reads. */
  readonly after: readonly number[];
  /** Approximate memory of one result at the endpoint that holds it. */
  readonly resultBytes: number;
}
