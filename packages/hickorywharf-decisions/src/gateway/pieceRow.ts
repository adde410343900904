/** A piece that waits for its turn, as far as its order depends on it. */
export interface PieceRow {
  readonly requestId: string;
  readonly stage: number;
  readonly piece: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** When the piece has to be made for the answer to be in time. */
  readonly targetAt: number;
  /** When the piece has to be made for the answer to be worth anything. */
  readonly deadlineAt: number;
  readonly resultBytes: number;
  readonly workMilliseconds: number;
  /** Where the result will probably be read; null if it does not matter. */
  readonly failureDomain: string | null;
}
