/** One figure of an experiment, with its target if it has one. */
interface Figure {
  readonly name: string;
  readonly value: number;
  readonly unit: string;
  /** Bound from a stated requirement, never derived from measurements. */
  readonly target:
    {readonly atMost: number} | {readonly atLeast: number} | null;
}

/** Result of one policy, or one strategy, with one seed. */
interface ExperimentRun {
  readonly policy: string;
  readonly seed: number;
  readonly figures: readonly Figure[];
  /** Time series for plots, by name; each point is `[seconds, value]`. */
  readonly series: Readonly<
    Record<string, readonly (readonly [number, number])[]>
  >;
}

/** The report that `hickorywharf experiment` writes and `report` draws. */
export interface ExperimentReport {
  readonly experiment: string;
  readonly seeds: readonly number[];
  readonly runs: readonly ExperimentRun[];
}
