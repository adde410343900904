/** One figure of an experiment, with its target where there is one. */
interface Figure {
  readonly name: string;
  readonly value: number;
  readonly unit: string;
  /** A bound from the users' stated targets, never from what was measured. */
  readonly target:
    {readonly atMost: number} | {readonly atLeast: number} | null;
}

/** What one policy, or one way, did in one run with one seed. */
interface ExperimentRun {
  readonly policy: string;
  readonly seed: number;
  readonly figures: readonly Figure[];
  /** Series over time for plots, by name; each point is `[seconds, value]`. */
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
