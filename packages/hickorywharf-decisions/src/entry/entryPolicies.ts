/** The policies of an entry, by the names that settings and experiments use. */
export interface EntryPolicies {
  readonly admission: string;
  readonly ejection: 'none' | 'slowness';
  readonly hedging: 'none' | 'late';
}
