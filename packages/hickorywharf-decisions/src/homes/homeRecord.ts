import type {HomeInterval} from 'hickorywharf-types/homeInterval';
import type {IssueTimeAnchor} from './issueTimeAnchor.ts';

/** The newest interval of a part, as the store keeps it. */
type NewestInterval = HomeInterval & {
  /** True once the home gave the part up: `until` is final. */
  readonly released: boolean;
  /** What proves to a successor that this home is gone; empty for nothing. */
  readonly slot: string;
  readonly anchor: IssueTimeAnchor;
};

/**
 * The record of a pool's homes in the store: of each half and part the newest
 * interval, and a few before it. It is written only by compare-and-swap.
 */
export interface HomeRecord {
  /** No process that knows fewer moves between halves may write the record. */
  readonly assignmentSequence: number;
  readonly intervals: readonly NewestInterval[];
  /** Earlier intervals, whose homes may still know the outcome of a key. */
  readonly earlier: readonly HomeInterval[];
}
