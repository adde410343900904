/**
 * The pieces of one stage of one request that wait to be dispatched. Points in
 * time are in monotonic milliseconds.
 */
export interface PieceGroup {
  /** How many pieces wait. */
  readonly count: number;
  /** Whether other pieces of the same stage and request have been started. */
  readonly isStarted: boolean;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** When the pieces have to be ready for the request to meet its target. */
  readonly targetAt: number;
  /** When the pieces have to be ready for the request to meet its deadline. */
  readonly deadlineAt: number;
  /** Approximate memory of one result. */
  readonly resultBytes: number;
  /** Expected time that one piece adds to a call to an endpoint. */
  readonly workMilliseconds: number;
  /**
   * Failure domain of the group's data: where its inputs are stored or its
   * results will be read. Null if it does not matter.
   */
  readonly failureDomain: string | null;
  /** Name of the client account; null or left out if it is not known. */
  readonly account?: string | null;
  /**
   * Whether the pieces read results of earlier stages, which would be made in
   * vain if the pieces waited too long; false by default.
   */
  readonly hasInputs?: boolean;
}
