import {rankStreamHomes} from 'hickorywharf-decisions/gateway/rankStreamHomes';
import type {Frame} from 'hickorywharf-types/frame';
import type {EngineReport} from 'hickorywharf-types/gateway/engineReport';
import type {EngineTotals} from 'hickorywharf-types/gateway/engineTotals';
import type {createEngineWork} from './createEngineWork.ts';

interface ExchangeOptions {
  /** Name of this instance. */
  readonly name: string;
  readonly engines: ReturnType<typeof createEngineWork>;
  /** False if the peer is not connected. */
  send(
    peer: string,
    fields: {readonly engineReports: readonly EngineReport[]},
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
  flush(): {readonly engineTotals?: EngineTotals};
  /** Handles a frame of a peer. */
  handle(peer: string, frame: Frame): void;
}

/**
 * Instances that add up the reports of all: a second one, so that the figures
 * stay known when the first one ends.
 */
const HUB_COUNT = 2;

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
  return {
    setInstances(instances) {
      // All instances are connected to those that keep records of streams.
      hubs = rankStreamHomes(instances);
    },
    flush() {
      const engineReports = engines.listReports();
      let reached = 0;
      for (const hub of hubs) {
        if (reached === HUB_COUNT) break;
        if (hub === name || send(hub, {engineReports})) reached += 1;
      }
      const engineTotals = engines.getTotals();
      return engineTotals === null ? {} : {engineTotals};
    },
    handle(peer, frame) {
      if (frame.tag === 'heartbeat' && frame.engineReports !== undefined) {
        engines.recordReport(peer, frame.engineReports);
      }
      if (frame.tag === 'stageWaits' && frame.engineTotals !== undefined) {
        engines.recordTotals(peer, frame.engineTotals);
      }
    },
  };
}
