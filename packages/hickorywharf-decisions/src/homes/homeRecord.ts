import type {HomeInterval} from 'hickorywharf-types/homeInterval';
import type {IssueTimeAnchor} from './issueTimeAnchor.ts';

/** The newest interval of a partition, as stored. */
type NewestInterval = HomeInterval & {
  /**
   * True once the home, or a successor in its slot, has released the interval:
   * `until` is final.
   */
  readonly released: boolean;
  /**
   * Identifies the listener that the home holds: a successor that holds the
   * same listener knows that this home has ended. Empty if unknown.
   */
  readonly slot: string;
  /** Bounds the issue times of the home; see `getIssueTimeCeiling`. */
  readonly anchor: IssueTimeAnchor;
};

/**
 * A pool's home record in the store: for each partition the newest interval and
 * a few earlier ones. The home of a partition is the endpoint process that may
 * run the non-idempotent requests whose keys hash to it and were issued in its
 * interval. The record is written only by compare-and-swap.
 */
export interface HomeRecord {
  /**
   * Sequence number of the newest move between halves that a writer of the
   * record knew. A process that knows only older moves must not write the
   * record.
   */
  readonly assignmentSequence: number;
  readonly intervals: readonly NewestInterval[];
  /**
   * Earlier intervals, oldest first within a partition: their homes may still
   * hold the outcome of a key.
   */
  readonly earlier: readonly HomeInterval[];
}
