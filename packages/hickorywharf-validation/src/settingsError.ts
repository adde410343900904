/** A setting that cannot be used, with where it stands and what is allowed. */
export interface SettingsError {
  readonly file: string;
  readonly section: string;
  readonly key: string;
  readonly message: string;
}
