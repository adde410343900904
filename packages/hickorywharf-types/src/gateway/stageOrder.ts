/** An order for pieces of one stage that one request needs. */
export interface StageOrder {
  readonly requestId: string;
  /** Position of the stage in its route. */
  readonly stage: number;
  /** The service that computes the pieces. */
  readonly service: string;
  /** Route and position of the stage; pieces of one kind take similar time. */
  readonly kind: string;
  /** Positions of the pieces within the stage. */
  readonly pieces: readonly number[];
  /** Names the caller's material; null if there is none or it is not read. */
  readonly key: string | null;
  /** Handles of the results that each piece reads; null if it reads none. */
  readonly inputs: readonly string[] | null;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Time left until the pieces have to be ready for a timely response. */
  readonly targetMilliseconds: number;
  /** Time left until the pieces are useless. */
  readonly deadlineMilliseconds: number;
  /** Approximate memory of one result. */
  readonly resultBytes: number;
  /**
   * Failure domain where the inputs are stored or the results will probably be
   * read; null if it does not matter.
   */
  readonly failureDomain: string | null;
  /** Name of the client account; left out if the call needs no key. */
  readonly account?: string;
}
