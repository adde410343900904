/** Whether a call with certain parts of its prompt may be sent. */
export type QuarantineDecision =
  | {readonly tag: 'allowed'}
  /** Allowed as the one trial of these parts, which are quarantined. */
  | {readonly tag: 'trial'; readonly parts: readonly string[]}
  | {
      readonly tag: 'refused';
      readonly part: string;
      /** Time until the next trial of the part. */
      readonly retryAfterMilliseconds: number;
    };
