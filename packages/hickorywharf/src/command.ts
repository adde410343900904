import type {ParseArgsOptionsConfig} from 'node:util';

/** A subcommand of the `hickorywharf` program. */
export interface Command {
  /** One line, printed in the list of commands. */
  readonly summary: string;
  /**
   * Names of the positional arguments, for the usage line. A name in square
   * brackets is optional.
   */
  readonly positionals: readonly string[];
  readonly options: ParseArgsOptionsConfig;
  /** Help text of each option, by option name. */
  readonly optionHelp: Readonly<Record<string, string>>;
  /** Runs the command and resolves to the program's exit code. */
  run(input: {
    readonly values: Readonly<Record<string, unknown>>;
    readonly positionals: readonly string[];
  }): Promise<number>;
}
