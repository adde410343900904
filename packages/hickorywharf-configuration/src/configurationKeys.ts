const SEQUENCE_DIGITS = 12;

/** Where the configuration log lives in the platform's store. */
export const configurationKeys = {
  logPrefix: 'configuration/log/',
  /** The key of an entry; keys sort as their sequence numbers do. */
  getLogKey: (sequence: number): string =>
    `configuration/log/${String(sequence).padStart(SEQUENCE_DIGITS, '0')}`,
} as const;
