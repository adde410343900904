/** Where a stream began. */
export interface StreamOrigin {
  /** Id of the request that got the first event. */
  readonly streamId: string;
  readonly service: string;
  /** Software version of the endpoint that sent the first event. */
  readonly version: string;
}
