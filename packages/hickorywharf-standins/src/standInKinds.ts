import type {Hono} from 'hono';
import type {HistoryRecorder} from 'hickorywharf-telemetry/historyRecorder';
import {createEngineStandIn} from './createEngineStandIn.ts';
import {createInstancesStandIn} from './createInstancesStandIn.ts';
import {createPoolStandIn} from './createPoolStandIn.ts';
import {createServiceStandIn} from './createServiceStandIn.ts';
import {createStoreStandIn} from './createStoreStandIn.ts';

/** One stand-in of a file of stand-ins. */
interface StandInOptions {
  readonly name: string;
  readonly workMilliseconds: number;
  readonly tokenMilliseconds: number;
  readonly lagMilliseconds: number;
  readonly sizeMilliseconds: number;
  readonly capacity: number;
  readonly history: HistoryRecorder;
}

type StandInKind = (options: StandInOptions) => Hono;

/** The stand-ins by the `kind` in a file of stand-ins. */
export const standInKinds: Readonly<Record<string, StandInKind>> = {
  store: () => createStoreStandIn().application,
  instances: ({lagMilliseconds}) => createInstancesStandIn(lagMilliseconds),
  engine: ({workMilliseconds, ...options}) =>
    createEngineStandIn({prefillMilliseconds: workMilliseconds, ...options}),
  pool: createPoolStandIn,
  service: ({name, workMilliseconds, history}) =>
    createServiceStandIn({name, workMilliseconds, history}),
};
