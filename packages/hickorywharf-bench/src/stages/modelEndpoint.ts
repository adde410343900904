/** One endpoint of a service in the model. */
export interface ModelEndpoint {
  readonly service: string;
  isBusy: boolean;
  heldBytes: number;
}
