import type {ExperimentReport} from './experimentReport.ts';

interface ExperimentOptions {
  readonly seeds: readonly number[];
  /** A file with the load, for experiments that read one; null without. */
  readonly load: string | null;
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
