import type {WorkLog} from 'hickorywharf-standins/workLog';
import type {startDeployment} from '../../deployment/startDeployment.ts';
import type {CallRecord} from '../../load/callRecord.ts';
import type {LoadKind} from '../../load/loadKind.ts';
import type {ExperimentReport} from '../experimentReport.ts';
import type {policySets} from './policySets.ts';

/** Observations of one run of a scenario, with one policy and one seed. */
interface ScenarioRun {
  readonly records: readonly CallRecord[];
  readonly work: WorkLog['items'];
}

type Deployment = Awaited<ReturnType<typeof startDeployment>>;

/** An experiment on a running deployment under load, with or without faults. */
export interface Scenario {
  readonly name: string;
  readonly summary: string;
  readonly deployment: 'lusacine' | 'authority';
  readonly policies: readonly (keyof typeof policySets)[];
  readonly mix: readonly LoadKind[];
  /** Rates as shares of the engines' capacity; the first phase is a warm-up. */
  readonly phases: readonly {
    readonly seconds: number;
    readonly capacityShare: number;
    /** If set, only calls of this pipeline, at its share of the rate. */
    readonly only?: string;
  }[];
  /** Share of the arrivals by account; one account if absent. */
  readonly accounts?: Readonly<Record<string, number>>;
  /** Requests per second by account; the plan's default if absent. */
  readonly accountLimits?: Readonly<Record<string, number>>;
  readonly faults?: readonly {
    readonly atMilliseconds: number;
    readonly apply: (deployment: Deployment) => Promise<void>;
  }[];
  /** Targets of the cost figures, by name of the figure. */
  readonly workTargets?: Readonly<Record<string, {readonly atMost: number}>>;
  getFigures(run: ScenarioRun): ExperimentReport['runs'][number]['figures'];
}
