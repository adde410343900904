/** What client accounts have at an instance, or at several. */
export interface AccountWorkFigures {
  /** Number of instances that are summed up. */
  readonly instances: number;
  /** Age of the oldest figure. */
  readonly ageMilliseconds: number;
  /** Time since the last refusal for lack of room; Infinity if there is none. */
  readonly refusedAgeMilliseconds: number;
  readonly accounts: ReadonlyMap<
    string,
    {readonly workMilliseconds: number; readonly refusedMilliseconds: number}
  >;
  /** The accounts that are not named, in sum. */
  readonly others: {
    readonly accounts: number;
    readonly workMilliseconds: number;
    readonly refusedMilliseconds: number;
  };
}
