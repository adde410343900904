/** The orders to evacuate that an instance knows. */
export interface EvacuationReport {
  readonly failureDomains: readonly string[];
  /** Since the store confirmed them, in milliseconds. */
  readonly ageMilliseconds: number;
}
