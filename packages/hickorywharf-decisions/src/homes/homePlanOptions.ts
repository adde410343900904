import type {HomeRecord} from './homeRecord.ts';

type Interval = HomeRecord['intervals'][number];

/** What an endpoint process knows when it plans its pool's homes. */
export interface HomePlanOptions {
  readonly pool: string;
  readonly partitionCount: number;
  readonly name: string;
  readonly incarnation: string;
  /**
   * Names the kernel and the listening address that this process holds, so
   * that a predecessor under the same one is gone; empty where unknown.
   */
  readonly slot: string;
  /** The halves that requests may belong to, null for shared ones. */
  readonly halves: readonly (string | null)[];
  /** The owner of each part among the endpoints that serve a half. */
  readonly getOwners: (
    half: string | null,
  ) => (part: number) => string | undefined;
  readonly leaving: boolean;
  /** Sequence of the newest move between halves that is in force here. */
  readonly assignmentSequence: number;
  /** This process's wall clock; its error costs refusals, never a double run. */
  readonly wallNow: number;
  /** The monotonic clock of the kernel. */
  readonly monotonicNow: number;
  readonly intervalMilliseconds: number;
  readonly maximumSkewMilliseconds: number;
  /** Above every issue time that this process has run of a part. */
  readonly getExecutedUntil: (half: string | null, part: number) => number;
  /** The end of a release that was tried before, if any. */
  readonly getPendingRelease: (interval: Interval) => number | undefined;
}
