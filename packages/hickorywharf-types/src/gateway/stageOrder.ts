/** An order for the pieces of one stage that one request needs. */
export interface StageOrder {
  readonly requestId: string;
  readonly stage: number;
  /** The service that computes the pieces. */
  readonly service: string;
  /** Pieces of one kind take about the same time. */
  readonly kind: string;
  /** Positions of the pieces within the stage. */
  readonly pieces: readonly number[];
  /** Names the caller's material; null for a stage that reads results. */
  readonly key: string | null;
  /** Handles of the results that each piece reads; null if there is a key. */
  readonly inputs: readonly string[] | null;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Time left until the pieces have to be ready for a timely response. */
  readonly targetMilliseconds: number;
  /** Time left until the pieces are of no use. */
  readonly deadlineMilliseconds: number;
  /** Approximate memory of one result. */
  readonly resultBytes: number;
  /** Where inputs are stored or results will be read; null if irrelevant. */
  readonly failureDomain: string | null;
}
