import type {ExperimentReport} from './experimentReport.ts';

interface ExperimentOptions {
  readonly seeds: readonly number[];
  /** Path of the built program, for the processes that are started. */
  readonly program: string;
  /** Directory for settings, logs and histories. */
  readonly directory: string;
  /** Progress, for people. */
  readonly print: (line: string) => void;
}

/** An experiment that can be run by name. */
export interface Experiment {
  readonly summary: string;
  run(options: ExperimentOptions): Promise<ExperimentReport>;
}
