/** The pieces of one stage of one request that wait for their turn. */
export interface PieceGroup {
  /** How many pieces wait. */
  readonly count: number;
  /** Others of the request's pieces of this stage were begun. */
  readonly isBegun: boolean;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** When the pieces have to be made for the answer to be in time. */
  readonly targetAt: number;
  /** When the pieces have to be made for the answer to be worth anything. */
  readonly deadlineAt: number;
  /** About how much memory one result takes. */
  readonly resultBytes: number;
  /** Usual work on one piece. */
  readonly workMilliseconds: number;
  /** Where inputs lie or results are read; null if it does not matter. */
  readonly failureDomain: string | null;
}
