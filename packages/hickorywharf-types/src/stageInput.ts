/**
 * What a stage works on. `text` is the caller's own text; the other fields
 * carry the results of earlier stages.
 */
export interface StageInput {
  readonly text: string;
  readonly vector?: readonly number[];
  readonly documents?: readonly string[];
  /** For a call: the name of the action and its parameters. */
  readonly action?: {
    readonly name: string;
    readonly parameters: Readonly<Record<string, unknown>>;
  };
  /** For a generation that continues one which was cut: the tokens sent. */
  readonly continuation?: readonly string[];
  readonly maximumTokens?: number;
}
