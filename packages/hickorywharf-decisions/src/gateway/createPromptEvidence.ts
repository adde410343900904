import type {PromptRecord} from 'hickorywharf-types/gateway/promptRecord';
import {countStrikes} from './countStrikes.ts';

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
interface PromptEvidence {
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
  /**
   * The strikes of each of the parts since its last progress, without the ends
   * that another one of the explanations was waiting at.
   */
  countStrikes(
    parts: readonly string[],
    explanations: readonly string[],
  ): ReadonlyMap<string, number>;
  /** The ends since the last progress of a part. */
  listEnds(part: string): ProcessEnd[];
  /** The suspects that are recorded of one end: those sent last. */
  limitSuspects(
    suspects: ReadonlyArray<readonly [part: string, sentAt: number]>,
  ): ReadonlyArray<readonly [part: string, sentAt: number]>;
  list(now: number): PromptRecord[];
  dropExpired(now: number): void;
}

/** What peers tell looks later by the time of its transfer, up to this one. */
const LATENCY_MILLISECONDS = 250;
/** Older ends count no more. */
const REMEMBER_MILLISECONDS = 300_000;
/** Beyond these numbers, the oldest is dropped. */
const MAXIMUM_ENDS = 64;
const MAXIMUM_SUSPECTS = 256;
const MAXIMUM_PROGRESS = 20_000;

/**
 * Remembers which processes of endpoints ended under which parts of prompts,
 * and when answers with a part last went on.
 *
 * @example
 *     const evidence = createPromptEvidence();
 *     evidence.recordEnd('engine-1/17', 50, [{part: '5c1e', sentAt: 0}]);
 *     evidence.countStrikes(['5c1e'], []).get('5c1e'); // 1
 */
export function createPromptEvidence(): PromptEvidence {
  /** When the waiting calls were sent, by part, for each ended process. */
  const ends = new Map<
    string,
    ProcessEnd & {readonly suspects: Map<string, number>}
  >();
  /** When answers last went on, by part, in the order of their first. */
  const progress = new Map<string, {at: number; isOwn: boolean}>();
  /** Since when parts are suspect. */
  const suspectedAt = new Map<string, number>();

  const getProgressAt = (part: string): number =>
    progress.get(part)?.at ?? -Infinity;

  function suspect(part: string, at: number): void {
    suspectedAt.set(part, Math.max(at, suspectedAt.get(part) ?? -Infinity));
  }

  function listPartEnds(part: string) {
    const progressAt = getProgressAt(part);
    return [...ends.values()].filter(
      ({suspects, endedAt}) => suspects.has(part) && endedAt > progressAt,
    );
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
      progress.set(part, {at, isOwn});
      if (progress.size > MAXIMUM_PROGRESS) {
        progress.delete(progress.keys().next().value!);
      }
      const since = suspectedAt.get(part);
      return since !== undefined && before < since && at >= since;
    },
    getProgressAt,
    getSureProgressAt(part) {
      const known = progress.get(part);
      if (known === undefined) return -Infinity;
      return known.isOwn ? known.at : known.at - LATENCY_MILLISECONDS;
    },
    countStrikes(parts, explanations) {
      const explained = new Map(
        [...ends.values()].map(({process, suspects}) => [
          process,
          explanations.filter((part) => suspects.has(part)),
        ]),
      );
      const isExplained = (process: string, part: string): boolean => {
        const found = explained.get(process)!;
        return found.length > 1 || (found.length === 1 && found[0] !== part);
      };
      return new Map(
        parts.map((part) => {
          const counted = listPartEnds(part)
            .filter(({process}) => !isExplained(process, part))
            .map(({suspects, endedAt}) => ({
              sentAt: suspects.get(part)!,
              endedAt,
            }));
          return [part, countStrikes(counted)] as const;
        }),
      );
    },
    listEnds: (part) =>
      listPartEnds(part).map(({process, endedAt}) => ({process, endedAt})),
    limitSuspects: (suspects) =>
      [...suspects]
        .sort(([, left], [, right]) => right - left)
        .slice(0, MAXIMUM_SUSPECTS),
    list(now) {
      const records: PromptRecord[] = [...ends.values()].map((end) => ({
        tag: 'end',
        process: end.process,
        ageMilliseconds: now - end.endedAt,
        suspects: [...end.suspects].map(([part, sentAt]) => ({
          part,
          sentAgeMilliseconds: now - sentAt,
        })),
      }));
      const cleared = [...suspectedAt.keys()]
        .filter((part) => progress.has(part))
        .map((part): PromptRecord => {
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
