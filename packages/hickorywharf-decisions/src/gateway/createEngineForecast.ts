import type {EngineReport} from 'hickorywharf-types/gateway/engineReport';
import {createEngineReports} from './createEngineReports.ts';
import {createEngineSpeeds} from './createEngineSpeeds.ts';
import {forecastEngine} from './forecastEngine.ts';
import {PROMPT_TOKENS_PER_MILLISECOND} from './promptTokensPerMillisecond.ts';

type EngineState = Parameters<typeof forecastEngine>[0];
type EngineCall = Parameters<typeof forecastEngine>[1];
type Reports = ReturnType<typeof createEngineReports>;

interface Engine {
  readonly id: string;
  readonly startedAt: number;
}

/** Calls of this instance in progress at an engine. */
interface OwnWork {
  readonly running: number;
  readonly pendingTokens: number;
  readonly memoryTokens: number;
}

interface Limits {
  readonly slots: number;
  readonly capacityTokens: number;
}

/** Every `now` is in monotonic milliseconds. */
interface EngineForecasts extends Pick<
  Reports,
  'recordReport' | 'recordTotals' | 'recordOwn' | 'addTotals' | 'removePeer'
> {
  /** What all instances know of an engine; null limits are unknown. */
  getState(
    engine: Engine,
    own: OwnWork,
    limits: Limits | null,
    now: number,
  ): EngineState;
  /** Age of what other instances told of an engine; null for nothing. */
  getAge(engine: Engine, now: number): number | null;
  /** How a call that is sent now would fare. */
  forecast(
    engine: Engine,
    own: OwnWork,
    limits: Limits | null,
    call: EngineCall,
    now: number,
  ): ReturnType<typeof forecastEngine>;
  /** Records the first event of a call, with the state when it was sent. */
  recordFirstEvent(
    engine: Engine,
    state: EngineState,
    call: EngineCall,
    milliseconds: number,
    now: number,
  ): void;
  /** What this instance tells of an engine; null if there is nothing. */
  getReport(engine: Engine, own: OwnWork, now: number): EngineReport | null;
}

/**
 * Weight of the assumption that an engine is as fast as all on average, in
 * milliseconds of expected work. A few calls don't move its sessions.
 */
const PRIOR_MILLISECONDS = 250;
/**
 * Weight of a first event that came sooner than expected. Calls of others that
 * are not known yet only delay first events, and don't make an engine slower.
 */
const FASTER_WEIGHT = 4;
/** Less expected work than this, after it has faded, is not told. */
const MINIMUM_TOLD_MILLISECONDS = 5;

/**
 * Forecasts how calls would fare at engines, from the calls in progress there
 * and the speed at which each engine works now, as all instances together know
 * them.
 *
 * Designed for engines that differ by a factor of three in speed, and for many
 * instances that each see a small part of the calls.
 *
 * @example
 *     const forecasts = createEngineForecast();
 *     forecasts.forecast(engine, own, limits, call, now).firstEventMilliseconds; // 140
 */
export function createEngineForecast(): EngineForecasts {
  const speeds = createEngineSpeeds();
  const reports = createEngineReports();

  function getState(
    engine: Engine,
    own: OwnWork,
    limits: Limits | null,
    now: number,
  ): EngineState {
    const others = reports.getOthers(engine.id, engine.startedAt, now);
    const sums = speeds.getSums(engine, now);
    const told = others?.report;
    const slowness =
      (sums.observedMilliseconds +
        (told?.observedMilliseconds ?? 0) +
        PRIOR_MILLISECONDS * reports.getMeanSlowness(now)) /
      (sums.expectedMilliseconds +
        (told?.expectedMilliseconds ?? 0) +
        PRIOR_MILLISECONDS);
    // The engine has gone on reading since the report.
    const readTokens =
      ((others?.ageMilliseconds ?? 0) * PROMPT_TOKENS_PER_MILLISECOND) /
      slowness;
    return {
      running: own.running + (told?.running ?? 0),
      pendingTokens:
        own.pendingTokens +
        Math.max(0, (told?.pendingTokens ?? 0) - readTokens),
      memoryTokens: own.memoryTokens + (told?.memoryTokens ?? 0),
      slowness,
      slots: limits?.slots || Infinity,
      capacityTokens: limits?.capacityTokens || Infinity,
    };
  }

  return {
    recordReport: reports.recordReport,
    recordTotals: reports.recordTotals,
    recordOwn: reports.recordOwn,
    addTotals: reports.addTotals,
    removePeer: reports.removePeer,
    getState,
    getAge: ({id, startedAt}, now) =>
      reports.getOthers(id, startedAt, now)?.ageMilliseconds ?? null,
    forecast: (engine, own, limits, call, now) =>
      forecastEngine(getState(engine, own, limits, now), call),
    recordFirstEvent(engine, state, call, milliseconds, now) {
      const usual = forecastEngine({...state, slowness: 1}, call);
      const expected = usual.firstEventMilliseconds;
      const isFaster = milliseconds < expected * state.slowness;
      const weight = isFaster ? FASTER_WEIGHT : 1;
      const sums = {
        observedMilliseconds: milliseconds * weight,
        expectedMilliseconds: expected * weight,
      };
      speeds.record(engine, sums, now);
    },
    getReport(engine, own, now) {
      const sums = speeds.getSums(engine, now);
      const isTold =
        own.running > 0 ||
        sums.expectedMilliseconds >= MINIMUM_TOLD_MILLISECONDS;
      if (!isTold) return null;
      return {
        endpointId: engine.id,
        startedAt: engine.startedAt,
        running: own.running,
        pendingTokens: Math.round(own.pendingTokens),
        memoryTokens: Math.round(own.memoryTokens),
        observedMilliseconds: Math.round(sums.observedMilliseconds),
        expectedMilliseconds: Math.round(sums.expectedMilliseconds),
      };
    },
  };
}
