import {orderByRendezvous} from 'hickorywharf-utils/orderByRendezvous';
import type {HomeRecord} from './homeRecord.ts';

type Interval = HomeRecord['intervals'][number];

interface PlanHomesOptions {
  readonly pool: string;
  readonly parts: number;
  readonly name: string;
  readonly incarnation: string;
  /** Endpoints of the pool that are there and not leaving. */
  readonly members: readonly string[];
  readonly leaving: boolean;
  /** This process's wall clock; its error costs refusals, never a double run. */
  readonly wallNow: number;
  readonly lengthMilliseconds: number;
  /** The latest issue time that this process has run, by part. */
  readonly latestIssueTimes: ReadonlyMap<number, number>;
}

/** An interval is extended once less than this share of it is left. */
const EXTEND_BELOW_SHARE = 2 / 3;

function takeOver(
  options: PlanHomesOptions,
  part: number,
  previous: Interval | undefined,
): Interval {
  const {pool, name, incarnation, wallNow, lengthMilliseconds} = options;
  const from = previous?.until ?? 0;
  return {
    pool,
    part,
    home: name,
    incarnation,
    epoch: (previous?.epoch ?? 0) + 1,
    from,
    until: Math.max(wallNow, from) + lengthMilliseconds,
    released: false,
  };
}

function release(options: PlanHomesOptions, interval: Interval): Interval {
  const latest = options.latestIssueTimes.get(interval.part) ?? 0;
  const end = Math.max(options.wallNow, latest + 1, interval.from);
  const until = Math.min(interval.until, end);
  return {...interval, until, released: true};
}

function extend(options: PlanHomesOptions, interval: Interval): Interval {
  const {wallNow, lengthMilliseconds} = options;
  const left = interval.until - wallNow;
  if (left > lengthMilliseconds * EXTEND_BELOW_SHARE) return interval;
  return {...interval, until: wallNow + lengthMilliseconds};
}

function planPart(
  options: PlanHomesOptions,
  part: number,
  current: Interval | undefined,
): Interval | undefined {
  const {pool, members, name, incarnation, wallNow} = options;
  const [owner] = orderByRendezvous(`${pool}/${part}`, members);
  const isOwner = owner === name && !options.leaving;
  if (current === undefined) {
    return isOwner ? takeOver(options, part, undefined) : undefined;
  }
  const isMine = current.home === name && current.incarnation === incarnation;
  if (isMine && !current.released) {
    return isOwner ? extend(options, current) : release(options, current);
  }
  const isOver = current.released || wallNow >= current.until;
  return isOwner && isOver ? takeOver(options, part, current) : current;
}

/**
 * What this endpoint process wants the record of its pool's homes to become,
 * or null where nothing is to change. A successor's interval starts where its
 * predecessor's ends, so that no key can be run by both.
 *
 * @example
 *     planHomes({intervals: []}, options);
 */
export function planHomes(
  record: HomeRecord,
  options: PlanHomesOptions,
): HomeRecord | null {
  const byPart = new Map(
    record.intervals.map((interval) => [interval.part, interval]),
  );
  const planned: Interval[] = [];
  let changed = false;
  for (let part = 0; part < options.parts; part += 1) {
    const current = byPart.get(part);
    const next = planPart(options, part, current);
    if (next !== current) changed = true;
    if (next !== undefined) planned.push(next);
  }
  return changed ? {intervals: planned} : null;
}
