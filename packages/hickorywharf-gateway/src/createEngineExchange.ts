import {ENGINE_ROWS} from 'hickorywharf-decisions/gateway/engineRows';
import {rankStreamHomes} from 'hickorywharf-decisions/gateway/rankStreamHomes';
import type {Frame} from 'hickorywharf-types/frame';
import type {EngineRow} from 'hickorywharf-types/gateway/engineRow';
import type {createEngineWork} from './createEngineWork.ts';

interface ExchangeOptions {
  /** Name of this instance. */
  readonly name: string;
  readonly engines: ReturnType<typeof createEngineWork>;
  /** False if the peer is not connected. */
  send(
    peer: string,
    fields: {readonly engineReports: readonly EngineRow[]},
  ): boolean;
}

interface EngineExchange {
  /** Records a complete list of the instances, including this one. */
  setInstances(
    instances: ReadonlyArray<{
      readonly name: string;
      readonly capacity: number;
    }>,
  ): void;
  /**
   * Reports to the instances that add up; called at each heartbeat interval.
   * Returns the fields to be told to those that report to this instance.
   */
  flush(): Pick<Extract<Frame, {tag: 'stageWaits'}>, 'engineTotals'>;
  /** Handles a frame of a peer. */
  handle(peer: string, frame: Frame): void;
}

/**
 * Instances that add up the reports of all: a second one, so that the figures
 * stay known when the first one ends.
 */
const HUB_COUNT = 2;
/**
 * With each further so many instances, reports are sent one heartbeat interval
 * less often, which bounds what passes the links of the adding instances.
 */
const INSTANCES_PER_INTERVAL = 100;

/**
 * Exchanges with peers what each has in progress at model engines. All report
 * to the same two instances, which return the sums. While both are lost, each
 * instance goes by its own calls and chooses the next two.
 *
 * @example
 *     const exchange = createEngineExchange(options);
 *     exchange.setInstances(instances);
 */
export function createEngineExchange(options: ExchangeOptions): EngineExchange {
  const {name, engines, send} = options;
  let hubs: readonly string[] = [];
  let flushes = 0;
  /** Heartbeat intervals from one report to the next. */
  let interval = 1;
  return {
    setInstances(instances) {
      // All instances are connected to those that keep records of streams.
      hubs = rankStreamHomes(instances);
      interval = Math.ceil(instances.length / INSTANCES_PER_INTERVAL);
    },
    flush() {
      flushes += 1;
      if (flushes % interval !== 0) return {};
      const reports = engines.listReports();
      const engineReports = reports.map(ENGINE_ROWS.write);
      let reached = 0;
      for (const hub of hubs) {
        if (reached === HUB_COUNT) break;
        if (hub === name || send(hub, {engineReports})) reached += 1;
      }
      const totals = engines.addTotals(reports);
      if (totals === null) return {};
      const rows = totals.engines.map(ENGINE_ROWS.write);
      return {engineTotals: {instances: totals.instances, engines: rows}};
    },
    handle(peer, frame) {
      if (frame.tag === 'heartbeat' && frame.engineReports !== undefined) {
        engines.recordReport(peer, frame.engineReports.map(ENGINE_ROWS.read));
      }
      if (frame.tag === 'stageWaits' && frame.engineTotals !== undefined) {
        const {instances, engines: rows} = frame.engineTotals;
        engines.recordTotals(peer, {
          instances,
          engines: rows.map(ENGINE_ROWS.read),
        });
      }
    },
  };
}
