import {createHedgeShare} from '../createHedgeShare.ts';
import {createHedgeTimes} from '../createHedgeTimes.ts';
import {decideHedge} from '../decideHedge.ts';

interface HedgeLoad {
  readonly seed: number;
  readonly endpoints: number;
  readonly slots: number;
  readonly callsPerSecond: number;
  /** Share of the calls that may be hedged; 0 for none. */
  readonly callShare: number;
  /** Time that a call takes at an endpoint; `random` is of 0 to 1. */
  getMilliseconds(endpoint: number, at: number, random: () => number): number;
}

interface HedgeOutcome {
  readonly calls: number;
  readonly hedges: number;
  /** Of the calls sent since a time, the share that was hedged. */
  getHedgedShare(since: number): number;
  /** The time within which this share of the calls was answered. */
  getQuantile(share: number): number;
}

const CALLS = 4000;
const INSTANCES = 4;
const WINDOW_MILLISECONDS = 10_000;
const SERVICE = 'desk';

function createRandom(seed: number): () => number {
  let state = seed;
  const next = (): number => {
    state = (Math.imul(state, 1_664_525) + 1_013_904_223) >>> 0;
    return state / 2 ** 32;
  };
  // The first numbers of near seeds are near each other.
  for (let count = 0; count < 4; count += 1) next();
  return next;
}

/**
 * Replays calls of one instance of several against the decisions on hedges. An
 * endpoint queues what is beyond its slots; a loser is cancelled when the other
 * attempt is answered.
 */
export function simulateHedges(load: HedgeLoad): HedgeOutcome {
  const random = createRandom(load.seed);
  const times = createHedgeTimes();
  const share = createHedgeShare({
    callShare: load.callShare,
    roomShare: 0.1,
    windowMilliseconds: WINDOW_MILLISECONDS,
  });
  /** When each slot of each endpoint is free. */
  const free = Array.from({length: load.endpoints}, () =>
    new Array<number>(load.slots).fill(0),
  );
  const answered: number[] = [];
  const sent: number[] = [];
  const hedgedAt: number[] = [];
  const sentAt: number[] = [];
  let at = 0;

  /** Begins at the first free slot of an endpoint; returns the end. */
  function send(endpoint: number, sendAt: number, draw: () => number) {
    const slots = free[endpoint]!;
    const slot = slots.indexOf(Math.min(...slots));
    const before = slots[slot]!;
    const startsAt = Math.max(sendAt, before);
    const endsAt = startsAt + load.getMilliseconds(endpoint, startsAt, draw);
    slots[slot] = endsAt;
    return {
      endsAt,
      cancel: (time: number) => {
        slots[slot] = Math.max(before, Math.min(endsAt, time));
      },
    };
  }

  for (let call = 0; call < CALLS; call += 1) {
    at += (-Math.log(1 - random()) * 1000) / load.callsPerSecond;
    sent.push(at);
    sentAt.push(at);
    // Both plays of a load draw the same for the same call.
    const drawFirst = createRandom(load.seed * 10_007 + call * 7919);
    const drawSecond = createRandom(load.seed * 20_011 + call * 7919);
    while (sent[0]! < at - WINDOW_MILLISECONDS) sent.shift();
    share.recordCall(SERVICE, at);
    const endpoint = Math.floor(random() * load.endpoints);
    const first = send(endpoint, at, drawFirst);
    const delay = times.getDelay(SERVICE);
    const usualMilliseconds = times.getUsual(SERVICE) ?? 0;
    const slots = load.endpoints * load.slots;
    const elapsed = first.endsAt - at;
    const decision =
      delay === undefined || elapsed <= delay
        ? null
        : decideHedge({
            mayRunAgain: true,
            isSilent: false,
            hasEndpoint: true,
            running: free.flat().filter((end) => end > at + delay).length,
            callsPerMillisecond: sent.length / WINDOW_MILLISECONDS,
            instances: INSTANCES,
            slots: slots * INSTANCES,
            hasFreshKey: true,
            isQuarantined: false,
            timeLeftMilliseconds: 3000,
            usualMilliseconds,
            isWithinShare: share.mayStart(
              SERVICE,
              {slots: slots * INSTANCES, instances: INSTANCES},
              at + delay,
            ),
            retries: {used: 0, limit: 100},
          });
    if (decision?.tag === 'hedge') {
      const other =
        (endpoint + 1 + Math.floor(drawSecond() * (load.endpoints - 1))) %
        load.endpoints;
      const second = send(other, at + delay!, drawSecond);
      const endsAt = Math.min(first.endsAt, second.endsAt);
      const end = share.start(SERVICE, at + delay!);
      end();
      hedgedAt.push(at);
      (second.endsAt < first.endsAt ? first : second).cancel(endsAt);
      times.record(SERVICE, `${endpoint}`, Math.min(elapsed, endsAt - at));
      answered.push(endsAt - at);
    } else {
      times.record(SERVICE, `${endpoint}`, elapsed);
      answered.push(elapsed);
    }
  }
  const sorted = answered.toSorted((left, right) => left - right);
  return {
    calls: CALLS,
    hedges: hedgedAt.length,
    getHedgedShare(since) {
      const count = (list: readonly number[]): number =>
        list.filter((time) => time >= since).length;
      return count(hedgedAt) / count(sentAt);
    },
    getQuantile: (part) => sorted[Math.ceil(part * sorted.length) - 1]!,
  };
}
