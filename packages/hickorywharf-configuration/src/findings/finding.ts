/** Something that an operator should know about a change before it is made. */
export interface Finding {
  /** An error is refused by `apply`; a warning is only shown. */
  readonly severity: 'error' | 'warning';
  /** The record that it is about, as `kind/name`. */
  readonly record: string;
  readonly message: string;
}
