/** An endpoint of a simulated service. */
export interface SimulatedEndpoint {
  readonly service: string;
  isBusy: boolean;
  /** Memory of results that are stored or being computed. */
  heldBytes: number;
}
