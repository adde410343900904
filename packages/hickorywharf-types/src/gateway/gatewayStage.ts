/** Work that has to be done before a call of a route can run. */
export interface GatewayStage {
  readonly service: string;
  /** Positions of the stages whose results this one reads. */
  readonly after: readonly number[];
  /** About how much memory one result takes at its maker, in bytes. */
  readonly resultBytes: number;
}
