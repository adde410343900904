/** A problem that the configuration would have after a change. */
export interface Finding {
  /** `apply` refuses a change with an error; a warning is only shown. */
  readonly severity: 'error' | 'warning';
  /** The record concerned, as `kind/name`. */
  readonly record: string;
  readonly message: string;
}
