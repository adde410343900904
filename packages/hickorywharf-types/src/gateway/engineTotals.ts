import type {EngineReport} from './engineReport.ts';

/** Sums over the instances that report their work at engines to the sender. */
export interface EngineTotals {
  /** Number of instances whose reports are included. */
  readonly instances: number;
  readonly engines: readonly EngineReport[];
}
