import type {EngineReport} from 'hickorywharf-types/gateway/engineReport';

/** Decayed sums of times to first events; sums of instances can be added. */
type SpeedSums = Pick<
  EngineReport,
  'observedMilliseconds' | 'expectedMilliseconds'
>;

interface Incarnation {
  readonly id: string;
  readonly startedAt: number;
}

interface EngineSpeeds {
  /**
   * Records the time to the first event of a call, and the time that was
   * expected of a usual engine with the same work ahead.
   */
  record(engine: Incarnation, sums: SpeedSums, now: number): void;
  /** What this instance has observed of the engine, decayed. */
  getSums(engine: Incarnation, now: number): SpeedSums;
}

interface Row {
  startedAt: number;
  observedMilliseconds: number;
  expectedMilliseconds: number;
  at: number;
}

/**
 * Time in which an observation loses half of its weight: long enough for some
 * calls to each engine, and short enough to follow one that turns slow.
 */
const HALF_LIFE_MILLISECONDS = 4000;
/** One call can't make an engine count as slower or faster than this alone. */
const MAXIMUM_RATIO = 8;
const NOTHING: SpeedSums = {observedMilliseconds: 0, expectedMilliseconds: 0};

/**
 * Learns how fast each engine is from the times to first events. What was
 * observed fades, and is discarded when the engine restarts.
 *
 * Designed for engines that differ in speed by nature, and turn slow or well
 * again within seconds.
 *
 * @example
 *     const speeds = createEngineSpeeds();
 *     speeds.record(engine, {observedMilliseconds: 300, expectedMilliseconds: 150}, now);
 *     speeds.getSums(engine, now + 4000); // {observedMilliseconds: 150, expectedMilliseconds: 75}
 */
export function createEngineSpeeds(): EngineSpeeds {
  const rows = new Map<string, Row>();

  function getSums({id, startedAt}: Incarnation, now: number): SpeedSums {
    const row = rows.get(id);
    if (row === undefined || row.startedAt !== startedAt) return NOTHING;
    const share = 0.5 ** (Math.max(0, now - row.at) / HALF_LIFE_MILLISECONDS);
    return {
      observedMilliseconds: row.observedMilliseconds * share,
      expectedMilliseconds: row.expectedMilliseconds * share,
    };
  }

  return {
    getSums,
    record(engine, {observedMilliseconds, expectedMilliseconds}, now) {
      if (!(expectedMilliseconds > 0) || !(observedMilliseconds >= 0)) return;
      const known = rows.get(engine.id);
      // A late response of an earlier incarnation.
      if (known !== undefined && known.startedAt > engine.startedAt) return;
      const sums = getSums(engine, now);
      rows.set(engine.id, {
        startedAt: engine.startedAt,
        observedMilliseconds:
          sums.observedMilliseconds +
          Math.min(observedMilliseconds, expectedMilliseconds * MAXIMUM_RATIO),
        expectedMilliseconds: sums.expectedMilliseconds + expectedMilliseconds,
        at: now,
      });
    },
  };
}
