/** The exit codes of the program. */
export const exitCodes = {
  succeeded: 0,
  failed: 1,
  usage: 2,
  /** `plan` found changes to apply. */
  changes: 3,
} as const;
