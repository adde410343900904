import type {Hono} from 'hono';
import type {HistoryRecorder} from 'hickorywharf-telemetry/historyRecorder';
import {createEngineStandIn} from './createEngineStandIn.ts';
import {createInstancesStandIn} from './createInstancesStandIn.ts';
import {createPoolStandIn} from './createPoolStandIn.ts';
import {createServiceStandIn} from './createServiceStandIn.ts';
import {createStoreStandIn} from './createStoreStandIn.ts';

/** Options of a stand-in, from its entry in the stand-ins file. */
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

/** How each kind of stand-in is created, by its `kind` in the file. */
export const standInKinds: Readonly<Record<string, StandInKind>> = {
  store: () => createStoreStandIn().application,
  instances: ({lagMilliseconds}) => createInstancesStandIn(lagMilliseconds),
  engine: ({workMilliseconds, ...options}) =>
    createEngineStandIn({prefillMilliseconds: workMilliseconds, ...options}),
  pool: createPoolStandIn,
  service: ({name, workMilliseconds, history}) =>
    createServiceStandIn({name, workMilliseconds, history}),
};
