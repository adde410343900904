import type {WorkLog} from 'hickorywharf-standins/workLog';
import type {startDeployment} from '../../deployment/startDeployment.ts';
import type {CallRecord} from '../../load/callRecord.ts';
import type {LoadKind} from '../../load/loadKind.ts';
import type {ExperimentReport} from '../experimentReport.ts';
import type {policySets} from './policySets.ts';

/** One run of a scenario, with one policy and one seed. */
interface ScenarioRun {
  readonly records: readonly CallRecord[];
  readonly work: WorkLog['items'];
}

type Deployment = Awaited<ReturnType<typeof startDeployment>>;

/** An experiment on a running deployment, under a load and with faults. */
export interface Scenario {
  readonly name: string;
  readonly summary: string;
  readonly deployment: 'lusacine' | 'authority';
  readonly policies: readonly (keyof typeof policySets)[];
  readonly mix: readonly LoadKind[];
  /** Rates are shares of the pools' capacity. The first phase is a warm-up. */
  readonly phases: readonly {
    readonly seconds: number;
    readonly capacityShare: number;
    /** Only calls of this pipeline are sent, at their share of the rate. */
    readonly only?: string;
  }[];
  /** Accounts by share of the arrivals; one account without it. */
  readonly accounts?: Readonly<Record<string, number>>;
  /** Requests a second that each account may send; no limit without it. */
  readonly accountLimits?: Readonly<Record<string, number>>;
  readonly faults?: readonly {
    readonly atMilliseconds: number;
    readonly apply: (deployment: Deployment) => Promise<void>;
  }[];
  getFigures(run: ScenarioRun): ExperimentReport['runs'][number]['figures'];
}
