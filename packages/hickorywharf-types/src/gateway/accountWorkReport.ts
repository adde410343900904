/** What one client account has at the instances of a report. */
interface AccountWork {
  /** Name of the client account. */
  readonly account: string;
  /** Work of its calls that wait or are in progress. */
  readonly workMilliseconds: number;
  /** Work of its calls that were refused lately for lack of room. */
  readonly refusedMilliseconds: number;
}

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
  /** The accounts with most work, refused work included. */
  readonly accounts: readonly AccountWork[];
  /** Number of the accounts that are not listed. */
  readonly otherAccounts: number;
  /** Sums over the accounts that are not listed. */
  readonly otherWorkMilliseconds: number;
  readonly otherRefusedMilliseconds: number;
}
