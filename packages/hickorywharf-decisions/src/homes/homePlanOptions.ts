import type {HomeRecord} from './homeRecord.ts';

type Interval = HomeRecord['intervals'][number];

/** Inputs of an endpoint process for planning its pool's homes. */
export interface HomePlanOptions {
  readonly pool: string;
  readonly partitionCount: number;
  readonly name: string;
  readonly incarnation: string;
  /**
   * Identifies the kernel and the listening address that this process holds: a
   * predecessor with the same value has ended. Empty if unknown.
   */
  readonly slot: string;
  /** The halves that requests may belong to; null for shared ones. */
  readonly halves: readonly (string | null)[];
  /** Looks up the owner of a partition among the endpoints of a half. */
  readonly getOwners: (
    half: string | null,
  ) => (part: number) => string | undefined;
  /** True while the process stops or is drained: it takes no interval. */
  readonly leaving: boolean;
  /** Sequence of the newest move between halves that this process knows. */
  readonly assignmentSequence: number;
  /**
   * Wall clock of this process in milliseconds. An error of it can cause
   * refusals, never a second run of a key.
   */
  readonly wallNow: number;
  /** Monotonic clock of the kernel, in milliseconds. */
  readonly monotonicNow: number;
  /** Length of a new interval. */
  readonly intervalMilliseconds: number;
  /** How far callers' clocks may run ahead. */
  readonly maximumSkewMilliseconds: number;
  /** Exclusive upper bound of the issue times that ran here, by partition. */
  readonly getExecutedUntil: (half: string | null, part: number) => number;
  /** End of a release that an earlier write attempted, if any. */
  readonly getPendingRelease: (interval: Interval) => number | undefined;
}
