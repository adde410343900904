import type {ParseArgsOptionsConfig} from 'node:util';

/** A command of the program. */
export interface Command {
  /** One line for the list of commands. */
  readonly summary: string;
  /** Names of the positional arguments, for the usage line. */
  readonly positionals: readonly string[];
  readonly options: ParseArgsOptionsConfig;
  /** What each option is for, by name. */
  readonly optionHelp: Readonly<Record<string, string>>;
  /** Runs the command and gives the exit code. */
  run(input: {
    readonly values: Readonly<Record<string, unknown>>;
    readonly positionals: readonly string[];
  }): Promise<number>;
}
