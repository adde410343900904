/** The pieces of one stage of one request that wait to be dispatched. */
export interface PieceGroup {
  /** How many pieces wait. */
  readonly count: number;
  /** Whether other pieces of the same stage and request have been started. */
  readonly isBegun: boolean;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** When the pieces have to be ready for the call to meet its target. */
  readonly targetAt: number;
  /** When the pieces have to be ready for the call to meet its deadline. */
  readonly deadlineAt: number;
  /** Approximate memory of one result. */
  readonly resultBytes: number;
  /** Expected time of one piece within a call. */
  readonly workMilliseconds: number;
  /** Where inputs are stored or results are read; null if irrelevant. */
  readonly failureDomain: string | null;
}
