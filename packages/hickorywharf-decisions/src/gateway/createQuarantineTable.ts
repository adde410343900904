import type {QuarantineRecord} from 'hickorywharf-types/gateway/quarantineRecord';
import {orderByRendezvous} from 'hickorywharf-utils/orderByRendezvous';
import {isRequestName} from './isRequestName.ts';
import type {QuarantineDecision} from './quarantineDecision.ts';

type RecordOf<Tag extends QuarantineRecord['tag']> = Extract<
  QuarantineRecord,
  {tag: Tag}
>;

interface Quarantine {
  /** The same for all instances that conclude from the same end. */
  readonly id: string;
  /** End of the last process that is held against the part. */
  readonly startedAt: number;
  /** Other parts that the same evidence is held against. */
  readonly others: readonly string[];
  /** Number of trials that were started. */
  trials: number;
  /** Whether the first of them told apart several parts. */
  hasSplit: boolean;
  /** When a call with the part last arrived, as far as was told. */
  askedAt: number;
}

/** Every `now` is in monotonic milliseconds. */
interface QuarantineTable {
  /** Replaces the known instances, including this one. */
  setInstances(names: readonly string[]): void;
  add(
    part: string,
    quarantine: Pick<Quarantine, 'id' | 'startedAt' | 'others' | 'askedAt'>,
  ): void;
  /** Ends the quarantine of a part if it started before; null if not. */
  release(part: string, at: number): Readonly<Quarantine> | null;
  has(part: string): boolean;
  listParts(): readonly string[];
  getSize(): number;
  /** Whether a call with these parts may be sent. */
  check(parts: readonly string[], now: number): QuarantineDecision;
  /** Records the trial by a call with these parts; returns what to tell peers. */
  startTrial(parts: readonly string[], now: number): QuarantineRecord[];
  /** Records that a call was refused; returns what to tell peers. */
  recordAsked(parts: readonly string[], now: number): QuarantineRecord[];
  /** Merges the trial at another instance; false if it is no news. */
  mergeTrial(record: RecordOf<'trial'>): boolean;
  /** Merges a call at another instance; false if it is no news. */
  mergeAsked(record: RecordOf<'asked'>, now: number): boolean;
  list(now: number): QuarantineRecord[];
  /** Ends the quarantines that no call has asked for. */
  dropExpired(now: number): void;
}

interface Terms {
  /** Times of the trials after the quarantine has started, in milliseconds. */
  readonly trialMilliseconds: readonly number[];
  /** A quarantine that no call has asked for ends after this time. */
  readonly unusedMilliseconds: number;
}

const PART_TERMS: Terms = {
  trialMilliseconds: [20_000, 80_000, 260_000],
  unusedMilliseconds: 300_000,
};
/** A request concerns no other calls, so that it is held longer. */
const REQUEST_TERMS: Terms = {
  trialMilliseconds: [20_000, 80_000],
  unusedMilliseconds: 3_600_000,
};
/**
 * Time of an additional first trial if the same evidence is held against other
 * parts: with a call that has not all of them, to tell them apart.
 */
const SPLIT_MILLISECONDS = 1000;
/** How often peers are told that calls still ask for a part. */
const ASKED_INTERVAL_MILLISECONDS = 30_000;
/** Beyond this number, the one that was asked for least recently ends. */
const MAXIMUM_QUARANTINES = 256;
/** Retry delay where another instance runs the trial. */
const OTHER_TRIAL_MILLISECONDS = 5000;
/** Retry delay without a further trial. */
const NO_TRIAL_MILLISECONDS = 60_000;

/**
 * Keeps the quarantined parts of prompts and their trials: now and then one
 * call with a quarantined part may be sent, and ends the quarantine if its
 * answer goes on. All instances agree which of them runs the trial of a part.
 *
 * @param name name of this instance
 * @param getProgressAt when an answer with a part last went on
 * @example
 *     const quarantines = createQuarantineTable('front-1', getProgressAt);
 *     quarantines.add('5c1e', {id: 'engine-1/17', startedAt: now, others: [], askedAt: now});
 *     quarantines.check(['5c1e'], now); // {tag: 'refused', ...}
 */
export function createQuarantineTable(
  name: string,
  getProgressAt: (part: string) => number,
): QuarantineTable {
  const quarantines = new Map<string, Quarantine>();
  let instances: readonly string[] = [name];

  const has = (part: string): boolean => quarantines.has(part);
  const getTerms = (part: string): Terms =>
    isRequestName(part) ? REQUEST_TERMS : PART_TERMS;

  /** Whether a call tells the part apart from others of the same evidence. */
  function isSplit(
    {startedAt, others, trials}: Quarantine,
    parts: readonly string[],
  ): boolean {
    const isSuspect = (part: string): boolean =>
      has(part) || getProgressAt(part) < startedAt;
    return (
      trials === 0 &&
      others.some((other) => !parts.includes(other) && isSuspect(other))
    );
  }

  /** Milliseconds until the next trial; Infinity if none is left. */
  function getTrialWait(
    part: string,
    parts: readonly string[],
    now: number,
  ): number {
    const quarantine = quarantines.get(part)!;
    const {trialMilliseconds} = getTerms(part);
    const {startedAt, trials, hasSplit} = quarantine;
    const regular = hasSplit ? trials - 1 : trials;
    const delay = isSplit(quarantine, parts)
      ? SPLIT_MILLISECONDS
      : (trialMilliseconds[regular] ?? Infinity);
    if (trials >= trialMilliseconds.length) return Infinity;
    return Math.max(0, startedAt + delay - now);
  }

  return {
    setInstances(names) {
      instances = names;
    },
    add(part, quarantine) {
      quarantines.set(part, {...quarantine, trials: 0, hasSplit: false});
      if (quarantines.size <= MAXIMUM_QUARANTINES) return;
      const [oldest] = [...quarantines].sort(
        ([, left], [, right]) => left.askedAt - right.askedAt,
      );
      quarantines.delete(oldest![0]);
    },
    release(part, at) {
      const quarantine = quarantines.get(part);
      if (quarantine === undefined || at < quarantine.startedAt) return null;
      quarantines.delete(part);
      return quarantine;
    },
    has,
    listParts: () => [...quarantines.keys()],
    getSize: () => quarantines.size,
    check(parts, now) {
      if (quarantines.size === 0) return {tag: 'allowed'};
      const held = parts.filter(has);
      if (held.length === 0) return {tag: 'allowed'};
      let part = held[0]!;
      let wait = 0;
      for (const other of held) {
        const next = getTrialWait(other, parts, now);
        if (next > wait) [part, wait] = [other, next];
      }
      if (wait === 0) {
        // Any instance may try what tells parts apart, as few calls do.
        const mayTry =
          held.every((other) => isSplit(quarantines.get(other)!, parts)) ||
          orderByRendezvous([...held].sort()[0]!, instances)[0] === name;
        if (mayTry) return {tag: 'trial', parts: held};
        wait = OTHER_TRIAL_MILLISECONDS;
      }
      const retryAfterMilliseconds = Number.isFinite(wait)
        ? wait
        : NO_TRIAL_MILLISECONDS;
      return {tag: 'refused', part, retryAfterMilliseconds};
    },
    startTrial: (parts, now) =>
      parts
        // Before any of them changes what tells the others apart.
        .map((part) => {
          const quarantine = quarantines.get(part);
          return {
            part,
            quarantine,
            isFirst: quarantine && isSplit(quarantine, parts),
          };
        })
        .flatMap(({part, quarantine, isFirst = false}) => {
          if (quarantine === undefined) return [];
          const index = quarantine.trials;
          quarantine.trials += 1;
          quarantine.hasSplit ||= isFirst;
          quarantine.askedAt = now;
          const {hasSplit} = quarantine;
          return [
            {tag: 'trial', part, index, hasSplit, ageMilliseconds: 0},
          ] as const;
        }),
    recordAsked: (parts, now) =>
      parts.flatMap((part) => {
        const quarantine = quarantines.get(part);
        if (quarantine === undefined) return [];
        const isTold = now - quarantine.askedAt < ASKED_INTERVAL_MILLISECONDS;
        if (isTold) return [];
        quarantine.askedAt = now;
        return [{tag: 'asked', part, ageMilliseconds: 0}] as const;
      }),
    mergeTrial({part, index, hasSplit}) {
      const quarantine = quarantines.get(part);
      if (quarantine === undefined || index < quarantine.trials) return false;
      quarantine.trials = index + 1;
      quarantine.hasSplit ||= hasSplit;
      return true;
    },
    mergeAsked({part, ageMilliseconds}, now) {
      const quarantine = quarantines.get(part);
      if (quarantine === undefined) return false;
      const askedAt = now - ageMilliseconds;
      // Several instances may tell of calls at the same time.
      const least = quarantine.askedAt + ASKED_INTERVAL_MILLISECONDS / 2;
      if (askedAt < least) return false;
      quarantine.askedAt = askedAt;
      return true;
    },
    list: (now) =>
      [...quarantines].flatMap(
        ([
          part,
          {id, startedAt, others, trials, hasSplit, askedAt},
        ]): QuarantineRecord[] => {
          const ageMilliseconds = now - startedAt;
          const index = trials - 1;
          return [
            {tag: 'verdict', part, id, others, ageMilliseconds},
            ...(trials > 0
              ? [
                  {
                    tag: 'trial',
                    part,
                    index,
                    hasSplit,
                    ageMilliseconds,
                  } as const,
                ]
              : []),
            {tag: 'asked', part, ageMilliseconds: now - askedAt},
          ];
        },
      ),
    dropExpired(now) {
      for (const [part, {askedAt}] of quarantines) {
        const {unusedMilliseconds} = getTerms(part);
        if (now - askedAt > unusedMilliseconds) quarantines.delete(part);
      }
    },
  };
}
