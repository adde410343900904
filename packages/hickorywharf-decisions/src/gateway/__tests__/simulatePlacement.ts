import {createEngineForecast} from '../createEngineForecast.ts';
import {countUncachedTokens} from '../countUncachedTokens.ts';
import {orderSession} from '../orderSession.ts';

interface Load {
  readonly speeds: readonly number[];
  readonly instances: number;
  readonly callsPerSecond: number;
  /** Engines, the last ones, that come up at `addedAt`; by default none. */
  readonly added?: number;
  readonly addedAt?: number;
  /** Speed of an engine at a time; by default that in `speeds`. */
  getSpeed?(engine: number, now: number): number;
}

interface PlacementInput {
  readonly engines: ReadonlyArray<{
    readonly id: string;
    readonly failureDomain: string;
    readonly penaltyMilliseconds: number;
    readonly running: number;
    readonly pendingTokens: number;
    readonly memoryTokens: number;
    readonly slowness: number;
    readonly slots: number;
    readonly capacityTokens: number;
    /** Calls of the instance itself. */
    readonly own: {readonly running: number; readonly pendingTokens: number};
  }>;
  readonly parts: ReadonlyArray<{readonly id: string; readonly tokens: number}>;
  readonly promptTokens: number;
}

const SECONDS = 20;
const REPORT_MILLISECONDS = 250;
const TOKENS_PER_MILLISECOND = 50;
const RUN_MILLISECONDS = 400;
const SESSIONS = 400;
const LIMITS = {slots: 64, capacityTokens: 400_000};
const TARGET_MILLISECONDS = 500;

/**
 * Replays calls with long prompts to engines that read prompts one after the
 * other; returns for each second the share of calls with a timely first event,
 * and the calls by engine.
 */
export function simulatePlacement(
  load: Load,
  choose: (input: PlacementInput) => string,
) {
  const {speeds, getSpeed = (engine: number) => speeds[engine]!} = load;
  const engines = speeds.map((_speed, index) => ({
    id: `e${index}`,
    startedAt: 1,
    freeAt: 0,
    sessions: new Set<string>(),
  }));
  const forecasts = Array.from({length: load.instances}, createEngineForecast);
  const own = forecasts.map(() =>
    engines.map(() => ({running: 0, pendingTokens: 0, memoryTokens: 0})),
  );
  const events: Array<{at: number; run(): void}> = [];
  const seconds = Array.from({length: SECONDS}, () => ({timely: 0, calls: 0}));
  const calls = engines.map(() => new Array<number>(SECONDS).fill(0));
  let seed = 7;
  const random = (): number =>
    (seed = (seed * 48_271) % 2_147_483_647) / 2_147_483_647;

  function startCall(now: number): void {
    const instance = Math.floor(random() * load.instances);
    const forecast = forecasts[instance]!;
    const session = `s${Math.floor(random() ** 2 * SESSIONS)}`;
    const ownTokens = Math.round(800 - 2000 * Math.log(random()));
    const parts = [
      {id: session, tokens: 3800},
      {id: `${now}`, tokens: ownTokens},
    ];
    const promptTokens = 3800 + ownTokens;
    const present = engines.slice(
      0,
      now < (load.addedAt ?? 0) ? -(load.added ?? 0) : undefined,
    );
    const states = present.map((engine, index) => ({
      id: engine.id,
      failureDomain: 'a',
      penaltyMilliseconds: 0,
      own: own[instance]![index]!,
      ...forecast.getState(engine, own[instance]![index]!, LIMITS, now),
    }));
    const chosen = choose({engines: states, parts, promptTokens});
    const index = engines.findIndex(({id}) => id === chosen);
    const engine = engines[index]!;
    const work = own[instance]![index]!;
    const rank = orderSession(parts, states).indexOf(chosen);
    const uncachedTokens = countUncachedTokens(parts, rank);
    const before = states[index]!;
    work.running += 1;
    work.pendingTokens += uncachedTokens;
    work.memoryTokens += promptTokens;
    const read = engine.sessions.has(session) ? ownTokens : promptTokens;
    engine.sessions.add(session);
    const speed = getSpeed(index, now);
    engine.freeAt =
      Math.max(engine.freeAt, now) + read / (TOKENS_PER_MILLISECOND * speed);
    const firstAt = engine.freeAt + 30 / speed;
    const second = Math.floor(now / 1000);
    seconds[second]!.calls += 1;
    calls[index]![second]! += 1;
    if (firstAt - now <= TARGET_MILLISECONDS) seconds[second]!.timely += 1;
    const call = {promptTokens, uncachedTokens, outputTokens: 50};
    events.push({
      at: firstAt,
      run() {
        work.pendingTokens -= uncachedTokens;
        forecast.recordFirstEvent(engine, before, call, firstAt - now, firstAt);
      },
    });
    events.push({
      at: firstAt + RUN_MILLISECONDS / speed,
      run() {
        work.running -= 1;
        work.memoryTokens -= promptTokens;
      },
    });
  }

  function exchange(now: number): void {
    const [hub, ...others] = forecasts;
    const reports = forecasts.map((forecast, instance) => {
      const listed = engines.flatMap(
        (engine, index) =>
          forecast.getReport(engine, own[instance]![index]!, now) ?? [],
      );
      forecast.recordOwn(listed, now);
      return listed;
    });
    others.forEach((_other, index) =>
      hub!.recordReport(`${index}`, reports[index + 1]!, now),
    );
    const totals = hub!.addTotals(reports[0]!, now)!;
    for (const other of others) other.recordTotals('hub', totals, now);
  }

  let nextCallAt = 0;
  let nextReportAt = 0;
  for (let now = 0; now < SECONDS * 1000; now += 1) {
    events.sort((left, right) => left.at - right.at);
    while (events.length > 0 && events[0]!.at <= now) events.shift()!.run();
    if (now >= nextReportAt) {
      nextReportAt += REPORT_MILLISECONDS;
      exchange(now);
    }
    while (nextCallAt <= now) {
      startCall(now);
      nextCallAt += (-Math.log(random()) * 1000) / load.callsPerSecond;
    }
  }
  return {
    calls,
    getTimelyShare(from = 2, to = SECONDS): number {
      const range = seconds.slice(from, to);
      const sum = (key: 'timely' | 'calls'): number =>
        range.reduce((total, second) => total + second[key], 0);
      return sum('timely') / sum('calls');
    },
  };
}
