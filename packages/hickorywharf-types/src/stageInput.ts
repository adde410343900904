/**
 * The input of a stage. `text` comes from the caller; the other fields carry
 * the results of earlier stages.
 */
export interface StageInput {
  readonly text: string;
  readonly vector?: readonly number[];
  readonly documents?: readonly string[];
  /** For a stage of kind `call`: the action and its parameters. */
  readonly action?: {
    readonly name: string;
    readonly parameters: Readonly<Record<string, unknown>>;
  };
  /** Tokens already sent, if the stage continues an interrupted generation. */
  readonly continuation?: readonly string[];
  readonly maximumTokens?: number;
}
