/** An invalid or missing setting. */
export interface SettingsError {
  /** The settings file, or the environment variable or flag with the value. */
  readonly file: string;
  /** Empty where the fault is not in one section. */
  readonly section: string;
  /** Empty where the fault is not in one key. */
  readonly key: string;
  /** What is wrong and, where it is a list, what is allowed. */
  readonly message: string;
}
