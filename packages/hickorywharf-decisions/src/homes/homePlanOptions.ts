import type {HomeRecord} from './homeRecord.ts';

type Interval = HomeRecord['intervals'][number];

/** Inputs of an endpoint process for planning its pool's homes. */
export interface HomePlanOptions {
  readonly pool: string;
  readonly partitionCount: number;
  /** Name of the endpoint of this process. */
  readonly name: string;
  readonly incarnation: string;
  /**
   * Identifies the kernel and the listening address that this process holds: a
   * predecessor with the same value has ended. Empty if unknown.
   */
  readonly slot: string;
  /** The halves that requests may belong to; null for shared ones. */
  readonly halves: readonly (string | null)[];
  /**
   * Returns a lookup from the number of a partition to the name of the endpoint
   * that should be its home for a half (null for shared requests); the lookup
   * returns undefined if no endpoint can be.
   */
  readonly getOwnerLookup: (
    half: string | null,
  ) => (part: number) => string | undefined;
  /**
   * True while the process stops or is drained: it takes no interval and
   * releases those that it holds.
   */
  readonly leaving: boolean;
  /**
   * Sequence number of the newest move between halves that this process knows;
   * 0 if it knows none.
   */
  readonly assignmentSequence: number;
  /**
   * Wall clock of this process, in milliseconds since the Unix epoch. An error
   * of this clock can cause refusals, never a second run of a key.
   */
  readonly wallNow: number;
  /** Monotonic clock of the kernel, in milliseconds. */
  readonly monotonicNow: number;
  /** Length of time for which an interval is taken or extended. */
  readonly intervalMilliseconds: number;
  /** How far callers' clocks may run ahead of the clock of a home. */
  readonly maximumSkewMilliseconds: number;
  /**
   * Exclusive upper bound of the issue times whose keys this process may have
   * run or will run, by partition; in milliseconds since the Unix epoch.
   */
  readonly getAcceptedUntil: (half: string | null, part: number) => number;
  /**
   * End that an earlier write of a release of this interval had, in
   * milliseconds since the Unix epoch; undefined if there was no such write.
   */
  readonly getPendingRelease: (interval: Interval) => number | undefined;
}
