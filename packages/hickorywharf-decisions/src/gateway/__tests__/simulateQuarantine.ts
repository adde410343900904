import type {QuarantineRecord} from 'hickorywharf-types/gateway/quarantineRecord';
import {createRandom} from 'hickorywharf-utils/createRandom';
import {createQuarantine} from '../createQuarantine.ts';
import {createWaitingCalls} from '../createWaitingCalls.ts';

interface SimulationOptions {
  readonly seed: number;
  readonly instances: number;
  readonly servers: number;
  /** Requests each second at all instances together. */
  readonly markedPerSecond: number;
  readonly soundPerSecond: number;
  /** Parts that end each process that begins an answer on them. */
  readonly badParts: readonly string[];
  /** The shared parts of a marked request. */
  getMarkedParts(random: () => number): readonly string[];
  /** The shared parts of a sound request. */
  getSoundParts(random: () => number): readonly string[];
  /** From when the bad parts end processes; 0 by default. */
  readonly badFrom?: number;
  /** When some servers crash at once for another reason, and how many. */
  readonly otherCrashes?: ReadonlyArray<readonly [at: number, count: number]>;
  /** Times at which an instance starts again and knows nothing. */
  readonly restarts?: readonly number[];
  readonly milliseconds: number;
}

interface SimulationResult {
  /**
   * For each bad part, when requests with it arrived at servers, and when it
   * ended processes. Arrivals from an instance that has just started are left
   * out, as it may not have heard of the part.
   */
  readonly bad: ReadonlyArray<{
    readonly part: string;
    readonly arrivals: readonly number[];
    readonly crashes: readonly number[];
  }>;
  readonly sound: ReadonlyArray<{
    readonly parts: readonly string[];
    readonly sentAt: number;
    readonly isAnswered: boolean;
  }>;
}

interface SimulatedCall {
  readonly isMarked: boolean;
  readonly instance: number;
  readonly parts: readonly string[];
  readonly sentAt: number;
  sends: number;
}

interface RunningCall {
  readonly call: SimulatedCall;
  readonly process: string;
  end(): void;
}

/** An instance that has started has heard of its peers after this time. */
const CONTACT_MILLISECONDS = 3000;
/** Sends of one call at most. */
const MAXIMUM_SENDS = 2;

/**
 * Plays requests at instances with a quarantine each, and servers that some
 * parts of prompts end. Times are milliseconds of the simulation.
 */
export function simulateQuarantine(
  options: SimulationOptions,
): SimulationResult {
  const random = createRandom(options.seed);
  const between = (least: number, most: number): number =>
    least + random() * (most - least);
  const events: Array<{readonly at: number; run(): void}> = [];
  let now = 0;
  const schedule = (delay: number, run: () => void): void => {
    events.push({at: now + delay, run});
  };

  const names = Array.from(
    {length: options.instances},
    (_value, index) => `front-${index}`,
  );
  const createInstance = (name: string) => {
    const quarantine = createQuarantine(name);
    quarantine.setInstances(names);
    return {quarantine, waiting: createWaitingCalls()};
  };
  const instances = names.map(createInstance);
  const servers = Array.from({length: options.servers}, () => ({
    isUp: true,
    starts: 1,
    running: new Set<RunningCall>(),
  }));
  const startedAt = names.map(() => -Infinity);
  const bad = options.badParts.map((part) => ({
    part,
    arrivals: [] as number[],
    crashes: [] as number[],
  }));
  const sound: Array<SimulationResult['sound'][number]> = [];

  function broadcast(from: number, records: readonly QuarantineRecord[]): void {
    if (records.length === 0) return;
    instances.forEach((_instance, index) => {
      if (index === from) return;
      schedule(between(1, 40), () => {
        const {quarantine} = instances[index]!;
        broadcast(index, quarantine.merge(records, now));
      });
    });
  }

  function finish(call: SimulatedCall, isAnswered: boolean): void {
    if (call.isMarked) return;
    const {parts, sentAt} = call;
    sound.push({parts, sentAt, isAnswered});
  }

  function crash(index: number): void {
    const server = servers[index]!;
    const running = [...server.running];
    server.isUp = false;
    server.running.clear();
    const endedAt = now;
    const process = `e${index}/${server.starts}`;
    for (const [reporter, {quarantine, waiting}] of instances.entries()) {
      const calls = waiting.list(process);
      if (calls.length === 0) continue;
      schedule(between(1, 5), () => {
        broadcast(reporter, quarantine.recordEnd(process, calls, endedAt, now));
      });
    }
    for (const {call, end} of running) {
      end();
      schedule(6, () => send(call));
    }
    schedule(between(1000, 5000), () => {
      server.starts += 1;
      server.isUp = true;
    });
  }

  function send(call: SimulatedCall): void {
    if (call.sends >= MAXIMUM_SENDS) return finish(call, false);
    const {quarantine, waiting} = instances[call.instance]!;
    const decision = quarantine.check(call.parts, now);
    if (decision.tag === 'refused') {
      broadcast(call.instance, quarantine.recordAsked(call.parts, now));
      return finish(call, false);
    }
    const up = servers.flatMap(({isUp}, index) => (isUp ? [index] : []));
    if (up.length === 0) return finish(call, false);
    if (decision.tag === 'trial') {
      broadcast(call.instance, quarantine.startTrial(decision.parts, now));
    }
    const index = up[Math.floor(random() * up.length)]!;
    const server = servers[index]!;
    call.sends += 1;
    const {parts} = call;
    const held = bad.filter(({part}) => parts.includes(part));
    const isInTouch = now - startedAt[call.instance]! > CONTACT_MILLISECONDS;
    if (isInTouch) for (const {arrivals} of held) arrivals.push(now);
    const process = `e${index}/${server.starts}`;
    const end = waiting.start(process, {
      requestId: '',
      parts,
      getRequest: () => '',
      sentAt: now,
    });
    const running: RunningCall = {call, process, end};
    server.running.add(running);
    schedule(between(30, 300), () => {
      if (!server.running.has(running)) return;
      if (held.length > 0 && now >= (options.badFrom ?? 0)) {
        for (const {crashes} of held) crashes.push(now);
        return crash(index);
      }
      schedule(50, () => {
        if (!server.running.has(running)) return;
        end();
        // The instance may have started again meanwhile.
        const {quarantine: current} = instances[call.instance]!;
        broadcast(call.instance, current.recordProgress(parts, now));
        schedule(between(100, 800), () => {
          if (server.running.delete(running)) finish(call, true);
        });
      });
    });
  }

  function startArrivals(
    perSecond: number,
    isMarked: boolean,
    getParts: (random: () => number) => readonly string[],
  ): void {
    const arrive = (): void => {
      const instance = Math.floor(random() * options.instances);
      const parts = getParts(random);
      send({isMarked, instance, parts, sentAt: now, sends: 0});
      schedule(-Math.log(1 - random()) * (1000 / perSecond), arrive);
    };
    schedule(random() * (1000 / perSecond), arrive);
  }

  startArrivals(options.soundPerSecond, false, options.getSoundParts);
  startArrivals(options.markedPerSecond, true, options.getMarkedParts);
  for (const [at, count] of options.otherCrashes ?? []) {
    schedule(at, () => {
      for (let index = 0; index < count; index += 1) {
        if (servers[index]!.isUp) crash(index);
      }
    });
  }
  for (const at of options.restarts ?? []) {
    schedule(at, () => {
      const index = Math.floor(random() * options.instances);
      const peer = instances[(index + 1) % options.instances]!;
      const started = createInstance(names[index]!);
      instances[index] = started;
      startedAt[index] = now;
      schedule(between(20, 500), () => {
        const records = peer.quarantine.list(now);
        schedule(between(1, 40), () => {
          broadcast(index, started.quarantine.merge(records, now));
        });
      });
    });
  }

  while (now < options.milliseconds) {
    let next = 0;
    events.forEach(({at}, index) => {
      if (at < events[next]!.at) next = index;
    });
    const event = events[next]!;
    events[next] = events.at(-1)!;
    events.pop();
    now = event.at;
    event.run();
  }
  return {bad, sound};
}
