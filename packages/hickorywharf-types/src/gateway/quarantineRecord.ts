interface Aged {
  /** Time since the event, in milliseconds. */
  readonly ageMilliseconds: number;
}

/**
 * What instances tell each other about the suspects of ended processes of
 * endpoints. A suspect, `part`, is a part of a prompt or the name of a request
 * as a whole.
 */
export type QuarantineRecord =
  /** A process of an endpoint ended while calls with these parts waited. */
  | (Aged & {
      readonly tag: 'end';
      /** Identifies one incarnation of an endpoint. */
      readonly process: string;
      readonly suspects: ReadonlyArray<{
        readonly part: string;
        /** Time since the last waiting call with the part was sent. */
        readonly sentAgeMilliseconds: number;
      }>;
    })
  /** An answer to a prompt with the part went on. */
  | (Aged & {
      readonly tag: 'progress';
      readonly part: string;
      /** Whether another instance than the sender observed it. */
      readonly isRelayed: boolean;
    })
  /** The part was quarantined. */
  | (Aged & {
      readonly tag: 'verdict';
      readonly part: string;
      /** The same for all instances that conclude from the same end. */
      readonly id: string;
      /** Other parts that the same evidence is held against. */
      readonly others: readonly string[];
    })
  /** One call with the quarantined part may be sent. */
  | (Aged & {
      readonly tag: 'trial';
      readonly part: string;
      /** Number of the trials before. */
      readonly index: number;
      /** Whether the first trial told apart several parts. */
      readonly hasSplit: boolean;
    })
  /** A call with the quarantined part arrived. */
  | (Aged & {readonly tag: 'asked'; readonly part: string});
