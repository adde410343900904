import type {ExperimentReport} from './experimentReport.ts';

interface ExperimentOptions {
  readonly seeds: readonly number[];
  /** Path of a load file, for experiments that read one; null for none. */
  readonly load: string | null;
  /** Path of the built program that the started processes run. */
  readonly program: string;
  /** Directory for settings, logs and history files. */
  readonly directory: string;
  /** Prints a line of progress for people. */
  readonly print: (line: string) => void;
}

/** An experiment that can be run by name. */
export interface Experiment {
  readonly summary: string;
  /** Runs with each seed; rejects if a deployment cannot be started. */
  run(options: ExperimentOptions): Promise<ExperimentReport>;
}
