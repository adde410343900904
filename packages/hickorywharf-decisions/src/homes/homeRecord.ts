import type {HomeInterval} from 'hickorywharf-types/homeInterval';
import type {IssueTimeAnchor} from './issueTimeAnchor.ts';

/** The newest interval of a partition, as stored. */
type NewestInterval = HomeInterval & {
  /** True once the home has released the partition: `until` is final. */
  readonly released: boolean;
  /**
   * Listener that the home holds: a successor that holds the same one knows
   * that this home has ended. Empty if it is unknown.
   */
  readonly slot: string;
  /** Base of the highest issue time that the home may have run. */
  readonly anchor: IssueTimeAnchor;
};

/**
 * A pool's home record in the store: for each partition the newest interval and
 * a few earlier ones. The home of a partition is the endpoint process that may
 * run the non-idempotent requests whose keys hash to it. The record is written
 * only by compare-and-swap.
 */
export interface HomeRecord {
  /**
   * Sequence of the newest move between halves that a writer knew. A process
   * that knows only older moves must not write the record.
   */
  readonly assignmentSequence: number;
  readonly intervals: readonly NewestInterval[];
  /** Earlier intervals: their homes may still hold the outcome of a key. */
  readonly earlier: readonly HomeInterval[];
}
