/** The pieces of one stage that one request needs. */
export interface StageOrder {
  readonly requestId: string;
  readonly stage: number;
  /** The service that makes them. */
  readonly service: string;
  /** Pieces of one kind take about the same time. */
  readonly kind: string;
  /** Positions of the pieces within the stage. */
  readonly pieces: readonly number[];
  /** Names the caller's material; null for a stage that reads results. */
  readonly key: string | null;
  /** Handles of the results that each piece reads; null with a key. */
  readonly inputs: readonly string[] | null;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Time left until the pieces have to be made for a timely answer. */
  readonly targetMilliseconds: number;
  /** Time left until the pieces are of no use. */
  readonly deadlineMilliseconds: number;
  /** About how much memory one result takes. */
  readonly resultBytes: number;
  /** Where the results will probably be read; null if it does not matter. */
  readonly failureDomain: string | null;
}
