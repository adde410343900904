import type {QuarantineRecord} from 'hickorywharf-types/gateway/quarantineRecord';
import {countStrikes} from './countStrikes.ts';
import {isRequestName} from './isRequestName.ts';

interface Suspect {
  readonly part: string;
  /** When the last waiting call with the part was sent. */
  readonly sentAt: number;
}

interface ProcessEnd {
  readonly process: string;
  readonly endedAt: number;
}

/** Times are monotonic milliseconds. */
interface QuarantineEvidence {
  /** Records the end of a process; returns the suspects that are new. */
  recordEnd(
    process: string,
    endedAt: number,
    suspects: readonly Suspect[],
  ): string[];
  /**
   * Records that an answer with the part went on. Returns whether that clears
   * the part: it was suspect since a later time than its progress before.
   */
  recordProgress(part: string, at: number, isOwn: boolean): boolean;
  /** When an answer with the part last went on; -Infinity if none is known. */
  getProgressAt(part: string): number;
  /** The same, but not later than it really was. */
  getSureProgressAt(part: string): number;
  /** Whether this instance saw that answer. */
  isProgressOwn(part: string): boolean;
  /**
   * The strikes of each of the parts since its last progress, without the ends
   * that another one of the explanations was waiting at.
   */
  countStrikes(
    parts: readonly string[],
    explanations: readonly string[],
  ): ReadonlyMap<string, number>;
  /** The same ends, each of them counted. */
  countEnds(part: string, explanations: readonly string[]): number;
  /**
   * The ends since the last progress of a part that no single request accounts
   * for: those without the request that waited at most of them. One that was
   * ever answered whole accounts for none.
   */
  countEndsBesideRequest(part: string): number;
  /**
   * The last end that a request probably caused, since its last whole answer:
   * it is not the first one, or no other request waited. -Infinity if none.
   */
  getLikelyEndAt(request: string): number;
  /** Whether this process of an endpoint ended. */
  hasEnded(process: string): boolean;
  /** Whether any process ended that is remembered. */
  hasEnds(): boolean;
  /** The ends since the last progress of a part. */
  listEnds(part: string): ProcessEnd[];
  /** The suspects that are recorded of one end: those sent last. */
  limitSuspects(
    suspects: ReadonlyArray<readonly [part: string, sentAt: number]>,
  ): ReadonlyArray<readonly [part: string, sentAt: number]>;
  list(now: number): QuarantineRecord[];
  dropExpired(now: number): void;
}

/** What peers tell looks later by the time of its transfer, up to this one. */
const LATENCY_MILLISECONDS = 250;
/** Older ends count no more. */
const REMEMBER_MILLISECONDS = 300_000;
/** Beyond these numbers, the oldest is dropped. */
const MAXIMUM_ENDS = 64;
const MAXIMUM_SUSPECTS = 256;
const MAXIMUM_PART_PROGRESS = 20_000;
const MAXIMUM_REQUEST_PROGRESS = 4096;

function dropOldest(map: Map<string, unknown>, maximum: number): void {
  if (map.size > maximum) map.delete(map.keys().next().value!);
}

/**
 * Remembers which processes of endpoints ended under which parts of prompts,
 * and when answers with a part last went on. A request as a whole, by its name,
 * counts as a part of itself; its answers go on once they are whole.
 *
 * @example
 *     const evidence = createQuarantineEvidence();
 *     evidence.recordEnd('engine-1/17', 50, [{part: '5c1e', sentAt: 0}]);
 *     evidence.countStrikes(['5c1e'], []).get('5c1e'); // 1
 */
export function createQuarantineEvidence(): QuarantineEvidence {
  /** When the waiting calls were sent, by part, for each ended process. */
  const ends = new Map<
    string,
    ProcessEnd & {readonly suspects: Map<string, number>}
  >();
  /** When answers last went on, by part, in the order of their first. */
  const partProgress = new Map<string, {at: number; isOwn: boolean}>();
  /** When answers were last whole, by request, in that order. */
  const requestProgress: typeof partProgress = new Map();
  /** Since when parts are suspect. */
  const suspectedAt = new Map<string, number>();

  const getProgress = (part: string) =>
    (isRequestName(part) ? requestProgress : partProgress).get(part);
  const getProgressAt = (part: string): number =>
    getProgress(part)?.at ?? -Infinity;

  function setProgress(
    part: string,
    progress: {readonly at: number; readonly isOwn: boolean},
  ): void {
    if (isRequestName(part)) {
      requestProgress.delete(part);
      requestProgress.set(part, progress);
      dropOldest(requestProgress, MAXIMUM_REQUEST_PROGRESS);
    } else {
      partProgress.set(part, progress);
      dropOldest(partProgress, MAXIMUM_PART_PROGRESS);
    }
  }

  function suspect(part: string, at: number): void {
    suspectedAt.set(part, Math.max(at, suspectedAt.get(part) ?? -Infinity));
  }

  function listPartEnds(part: string) {
    const progressAt = getProgressAt(part);
    return [...ends.values()].filter(
      ({suspects, endedAt}) => suspects.has(part) && endedAt > progressAt,
    );
  }

  /** Those among the explanations that waited at each end. */
  function findExplanations(
    explanations: readonly string[],
  ): ReadonlyMap<string, readonly string[]> {
    return new Map(
      [...ends.values()].map(({process, suspects}) => [
        process,
        explanations.filter((part) => suspects.has(part)),
      ]),
    );
  }

  /** The ends of a part that none of the other explanations accounts for. */
  function listUnexplained(
    part: string,
    explanations: ReturnType<typeof findExplanations>,
  ) {
    return listPartEnds(part).filter(({process}) => {
      const found = explanations.get(process)!;
      return found.every((explanation) => explanation === part);
    });
  }

  return {
    recordEnd(process, endedAt, suspects) {
      let end = ends.get(process);
      if (end === undefined) {
        end = {process, endedAt, suspects: new Map()};
        ends.set(process, end);
        if (ends.size > MAXIMUM_ENDS) ends.delete(ends.keys().next().value!);
      }
      const added: string[] = [];
      for (const {part, sentAt} of suspects) {
        const known = end.suspects.get(part);
        if (known !== undefined) {
          end.suspects.set(part, Math.max(known, sentAt));
          continue;
        }
        if (end.suspects.size >= MAXIMUM_SUSPECTS) break;
        end.suspects.set(part, sentAt);
        suspect(part, end.endedAt);
        added.push(part);
      }
      return added;
    },
    recordProgress(part, at, isOwn) {
      const before = getProgressAt(part);
      if (at <= before) return false;
      setProgress(part, {at, isOwn});
      const since = suspectedAt.get(part);
      return since !== undefined && before < since && at >= since;
    },
    getProgressAt,
    isProgressOwn: (part) => getProgress(part)?.isOwn ?? false,
    getSureProgressAt(part) {
      const known = getProgress(part);
      if (known === undefined) return -Infinity;
      return known.isOwn ? known.at : known.at - LATENCY_MILLISECONDS;
    },
    countStrikes(parts, explanations) {
      const found = findExplanations(explanations);
      return new Map(
        parts.map((part) => {
          const counted = listUnexplained(part, found).map(
            ({suspects, endedAt}) => ({sentAt: suspects.get(part)!, endedAt}),
          );
          return [part, countStrikes(counted)] as const;
        }),
      );
    },
    countEnds: (part, explanations) =>
      listUnexplained(part, findExplanations(explanations)).length,
    countEndsBesideRequest(part) {
      const partEnds = listPartEnds(part);
      const waited = new Map<string, number>();
      for (const {suspects} of partEnds) {
        for (const name of suspects.keys()) {
          const isCounted =
            isRequestName(name) && getProgress(name) === undefined;
          if (isCounted) waited.set(name, (waited.get(name) ?? 0) + 1);
        }
      }
      return partEnds.length - Math.max(0, ...waited.values());
    },
    getLikelyEndAt(request) {
      const requestEnds = listPartEnds(request);
      const isLikely =
        requestEnds.length > 1 ||
        requestEnds.some(
          ({suspects}) =>
            [...suspects.keys()].filter(isRequestName).length === 1,
        );
      if (!isLikely) return -Infinity;
      return Math.max(...requestEnds.map(({endedAt}) => endedAt));
    },
    hasEnded: (process) => ends.has(process),
    hasEnds: () => ends.size > 0,
    listEnds: (part) =>
      listPartEnds(part).map(({process, endedAt}) => ({process, endedAt})),
    limitSuspects: (suspects) =>
      [...suspects]
        .sort(([, left], [, right]) => right - left)
        .slice(0, MAXIMUM_SUSPECTS),
    list(now) {
      const records: QuarantineRecord[] = [...ends.values()].map((end) => ({
        tag: 'end',
        process: end.process,
        ageMilliseconds: now - end.endedAt,
        suspects: [...end.suspects].map(([part, sentAt]) => ({
          part,
          sentAgeMilliseconds: now - sentAt,
        })),
      }));
      const cleared = [...suspectedAt.keys()]
        .filter((part) => getProgress(part) !== undefined)
        .map((part): QuarantineRecord => {
          const ageMilliseconds = now - getProgressAt(part);
          return {tag: 'progress', part, ageMilliseconds, isRelayed: true};
        });
      return [...records, ...cleared];
    },
    dropExpired(now) {
      const oldestAt = now - REMEMBER_MILLISECONDS;
      for (const [process, {endedAt}] of ends) {
        if (endedAt < oldestAt) ends.delete(process);
      }
      for (const [part, at] of suspectedAt) {
        if (at < oldestAt) suspectedAt.delete(part);
      }
    },
  };
}
