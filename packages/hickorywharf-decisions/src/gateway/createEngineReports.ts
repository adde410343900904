import type {EngineReport} from 'hickorywharf-types/gateway/engineReport';
import type {EngineTotals} from 'hickorywharf-types/gateway/engineTotals';
import {addEngineReports} from './addEngineReports.ts';

/** What other instances know of an engine, and how old it is. */
interface OtherWork {
  readonly report: EngineReport;
  readonly ageMilliseconds: number;
}

/** Every `now` is in monotonic milliseconds. */
interface EngineReports {
  /** Records the report of an instance, which replaces its earlier one. */
  recordReport(
    peer: string,
    engines: readonly EngineReport[],
    now: number,
  ): void;
  /** Records the sums that a peer computed, this instance included. */
  recordTotals(peer: string, totals: EngineTotals, now: number): void;
  /** Records what this instance reports now, which totals then include. */
  recordOwn(engines: readonly EngineReport[], now: number): void;
  /**
   * Adds up the reports to this instance with its own, as it has recorded it;
   * null if no instance reports to it.
   */
  addTotals(own: readonly EngineReport[], now: number): EngineTotals | null;
  /** Null if nothing is known of the work of other instances there. */
  getOthers(
    endpointId: string,
    startedAt: number,
    now: number,
  ): OtherWork | null;
  /**
   * How much longer the work of all engines takes than expected; 1 without
   * totals.
   */
  getMeanSlowness(now: number): number;
  /** Discards what a peer told, once it has disconnected. */
  removePeer(peer: string): void;
}

interface Told<Content> {
  readonly content: Content;
  readonly at: number;
}

/**
 * Reports are sent every 250 ms. After four missing ones, the calls that a
 * report counted may have ended.
 */
const MAXIMUM_AGE_MILLISECONDS = 1000;

/** Key of the sums of this instance; no peer has an empty name. */
const OWN_TOTALS = '';

const byId = (engines: readonly EngineReport[]): Map<string, EngineReport> =>
  new Map(engines.map((engine) => [engine.endpointId, engine]));

/** Weight of the assumption of a usual engine, in milliseconds of work. */
const PRIOR_MILLISECONDS = 150;

function getSlowness(engines: Iterable<EngineReport>): number {
  let observed = PRIOR_MILLISECONDS;
  let expected = PRIOR_MILLISECONDS;
  for (const engine of engines) {
    observed += engine.observedMilliseconds;
    expected += engine.expectedMilliseconds;
  }
  return observed / expected;
}

/**
 * Keeps what instances tell each other of their work at engines. Each instance
 * reports to a few others, which return the sums over all reports, so that the
 * exchange grows with the number of instances and not with its square.
 *
 * Designed for many instances, of which each sends an engine only a small part
 * of its calls. Reports of lost peers age out.
 *
 * @example
 *     reports.recordTotals('front-1', totals, now);
 *     reports.getOthers('engine-1', startedAt, now)?.report.running; // 11
 */
export function createEngineReports(): EngineReports {
  const reports = new Map<string, Told<Map<string, EngineReport>>>();
  const totals = new Map<
    string,
    Told<{
      instances: number;
      engines: Map<string, EngineReport>;
      slowness: number;
    }>
  >();
  let own: Told<Map<string, EngineReport>> | null = null;

  const isFresh = ({at}: {readonly at: number}, now: number): boolean =>
    now - at <= MAXIMUM_AGE_MILLISECONDS;

  /** The fresh totals over most instances; of several, the newest. */
  function findTotals(now: number) {
    let best: Told<{
      instances: number;
      engines: Map<string, EngineReport>;
      slowness: number;
    }> | null = null;
    for (const told of totals.values()) {
      if (!isFresh(told, now)) continue;
      const difference =
        told.content.instances - (best?.content.instances ?? -1);
      if (difference > 0 || (difference === 0 && told.at > best!.at)) {
        best = told;
      }
    }
    return best;
  }

  return {
    recordReport: (peer, engines, now) =>
      void reports.set(peer, {content: byId(engines), at: now}),
    recordTotals(peer, {instances, engines}, now) {
      totals.set(peer, {
        content: {
          instances,
          engines: byId(engines),
          slowness: getSlowness(engines),
        },
        at: now,
      });
    },
    recordOwn: (engines, now) => void (own = {content: byId(engines), at: now}),
    addTotals(ownEngines, now) {
      for (const [peer, told] of reports) {
        if (!isFresh(told, now)) reports.delete(peer);
      }
      if (reports.size === 0) return null;
      const engines = byId(ownEngines);
      for (const {content} of reports.values()) {
        for (const [id, engine] of content) {
          engines.set(id, addEngineReports(engines.get(id), engine, 1));
        }
      }
      const instances = reports.size + 1;
      totals.set(OWN_TOTALS, {
        content: {
          instances,
          engines,
          slowness: getSlowness(engines.values()),
        },
        at: now,
      });
      return {instances, engines: [...engines.values()]};
    },
    getOthers(endpointId, startedAt, now) {
      const known = findTotals(now);
      const total = known?.content.engines.get(endpointId);
      if (total?.startedAt !== startedAt) return null;
      const included =
        own !== null && isFresh(own, now)
          ? own.content.get(endpointId)
          : undefined;
      return {
        report: addEngineReports(total, included, -1),
        ageMilliseconds: now - known!.at,
      };
    },
    getMeanSlowness: (now) => findTotals(now)?.content.slowness ?? 1,
    removePeer(peer) {
      reports.delete(peer);
      totals.delete(peer);
    },
  };
}
