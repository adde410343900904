/**
 * The work of client accounts at one instance, or at several. Work is the time
 * of stages and engines that calls take, in milliseconds.
 */
export interface AccountWorkReport {
  /** Number of instances whose figures the report sums up. */
  readonly instances: number;
  /** Age of the oldest of these figures. */
  readonly ageMilliseconds: number;
  /**
   * Time since one of these instances refused a call for lack of room; null if
   * none did lately.
   */
  readonly refusedAgeMilliseconds: number | null;
  /**
   * The accounts with most work: the name, the work of calls that wait or are in
   * progress, and the work of those refused lately for lack of room. Lists
   * instead of objects, as field names would be most of the bytes.
   */
  readonly accounts: ReadonlyArray<
    readonly [
      account: string,
      workMilliseconds: number,
      refusedMilliseconds: number,
    ]
  >;
  /** Number of the accounts that are not listed. */
  readonly otherAccounts: number;
  /** Sums over the accounts that are not listed. */
  readonly otherWorkMilliseconds: number;
  readonly otherRefusedMilliseconds: number;
}
