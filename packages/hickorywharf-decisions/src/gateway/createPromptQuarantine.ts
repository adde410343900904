import type {PromptRecord} from 'hickorywharf-types/gateway/promptRecord';
import {createPromptEvidence} from './createPromptEvidence.ts';
import {createQuarantineTable} from './createQuarantineTable.ts';

type RecordOf<Tag extends PromptRecord['tag']> = Extract<
  PromptRecord,
  {tag: Tag}
>;
type Table = ReturnType<typeof createQuarantineTable>;

/** Every `now` is in monotonic milliseconds. */
interface PromptQuarantine extends Pick<
  Table,
  'setInstances' | 'check' | 'startTrial' | 'recordAsked' | 'getSize'
> {
  /** Records that an answer to a call went on; returns what to tell peers. */
  recordProgress(parts: readonly string[], now: number): PromptRecord[];
  /**
   * Records the end of a process under calls that waited for its answers;
   * returns what to tell peers.
   */
  recordEnd(
    process: string,
    waiting: ReadonlyArray<{
      readonly parts: readonly string[];
      readonly sentAt: number;
    }>,
    endedAt: number,
    now: number,
  ): PromptRecord[];
  /**
   * Merges what a peer told. Returns what was news to this instance, or is to
   * the peer, to tell all peers.
   */
  merge(records: readonly PromptRecord[], now: number): PromptRecord[];
  /** All that this instance knows, for a peer that has connected. */
  list(now: number): PromptRecord[];
  /** Drops what is too old. */
  dropExpired(now: number): void;
  isQuarantined(part: string): boolean;
  /** What is held against a part, for the log. */
  describe(
    part: string,
    now: number,
  ): {
    readonly strikes: number;
    /** Time since an answer with the part went on; null if none is known. */
    readonly progressAge: number | null;
    /** Processes that ended since, with their ages. */
    readonly ends: ReadonlyArray<{process: string; age: number}>;
  };
}

/** Strikes after which a part is quarantined. */
const MAXIMUM_STRIKES = 3;
/**
 * The same for a part that has had answers before. Of two parts that always
 * come together, it leaves the one that is known to be sound.
 */
const MAXIMUM_PROVEN_STRIKES = 4;
/** Bounds the parts that are told with one. */
const MAXIMUM_OTHERS = 16;

/** Progress and verdicts first, as they explain the ends. */
const MERGE_ORDER: Readonly<Record<PromptRecord['tag'], number>> = {
  progress: 0,
  verdict: 1,
  trial: 2,
  asked: 3,
  end: 4,
};

/**
 * Finds parts of prompts that end the processes of endpoints, and keeps calls
 * with them from being sent. A part gets a strike if a process ends while a
 * call with the part waits that was sent after its strike before; an answer
 * that goes on clears the part and ends its quarantine. Instances merge what
 * each of them observes, so that all reach the same verdict.
 *
 * @param name name of this instance
 * @example
 *     const quarantine = createPromptQuarantine('front-1');
 *     quarantine.recordEnd('engine-1/17', [{parts: ['5c1e'], sentAt}], endedAt, now);
 *     quarantine.check(['5c1e'], now); // {tag: 'allowed'} before three strikes
 */
export function createPromptQuarantine(name: string): PromptQuarantine {
  const evidence = createPromptEvidence();
  const quarantines = createQuarantineTable(name);

  const countStrikes = (part: string): number =>
    evidence.countStrikes(part, quarantines.listParts());

  /** Quarantines the parts whose strikes have reached the limit. */
  function conclude(
    parts: readonly string[],
    startedAt: number,
    now: number,
  ): PromptRecord[] {
    const guilty = parts.filter((part) => {
      if (quarantines.has(part)) return false;
      const isProven = evidence.getProgressAt(part) > -Infinity;
      const limit = isProven ? MAXIMUM_PROVEN_STRIKES : MAXIMUM_STRIKES;
      return countStrikes(part) >= limit;
    });
    return guilty.map((part) => {
      const others = guilty
        .filter((other) => other !== part)
        .slice(0, MAXIMUM_OTHERS);
      quarantines.add(part, {startedAt, others, askedAt: now});
      const ageMilliseconds = now - startedAt;
      return {tag: 'verdict', part, others, ageMilliseconds};
    });
  }

  function mergeEnd(
    record: RecordOf<'end'>,
    now: number,
    isOwn = false,
  ): PromptRecord[] {
    const {process, suspects, ageMilliseconds} = record;
    const endedAt = now - ageMilliseconds;
    const added = evidence.recordEnd(
      process,
      endedAt,
      suspects.map(({part, sentAgeMilliseconds}) => ({
        part,
        sentAt: now - sentAgeMilliseconds,
      })),
    );
    if (added.length === 0 && !isOwn) return [];
    const news = new Set(added);
    const told = {
      ...record,
      suspects: suspects.filter(({part}) => news.has(part)),
    };
    const cleared = added
      .filter((part) => evidence.getProgressAt(part) > endedAt)
      .map((part) => createProgress(part, now));
    const parts = suspects.map(({part}) => part);
    const verdicts = conclude(parts, endedAt, now);
    return [...(added.length > 0 ? [told] : []), ...cleared, ...verdicts];
  }

  function createProgress(part: string, now: number): PromptRecord {
    const ageMilliseconds = now - evidence.getProgressAt(part);
    return {tag: 'progress', part, ageMilliseconds};
  }

  /** Returns whether the progress clears the part or ends its quarantine. */
  function applyProgress(part: string, at: number): boolean {
    const isCleared = evidence.recordProgress(part, at);
    return quarantines.release(part, at) || isCleared;
  }

  const mergers: {
    readonly [Tag in PromptRecord['tag']]: (
      record: RecordOf<Tag>,
      now: number,
    ) => PromptRecord[];
  } = {
    end: (record, now) => mergeEnd(record, now),
    progress(record, now) {
      const {part, ageMilliseconds} = record;
      return applyProgress(part, now - ageMilliseconds) ? [record] : [];
    },
    verdict(record, now) {
      const {part, others, ageMilliseconds} = record;
      const startedAt = now - ageMilliseconds;
      if (quarantines.has(part)) return [];
      if (evidence.getProgressAt(part) > startedAt) {
        return [createProgress(part, now)];
      }
      quarantines.add(part, {startedAt, others, askedAt: startedAt});
      return [record];
    },
    trial: (record) => (quarantines.mergeTrial(record) ? [record] : []),
    asked: (record, now) =>
      quarantines.mergeAsked(record, now) ? [record] : [],
  };

  return {
    setInstances: quarantines.setInstances,
    check: quarantines.check,
    startTrial: quarantines.startTrial,
    recordAsked: quarantines.recordAsked,
    getSize: quarantines.getSize,
    recordProgress: (parts, now) =>
      parts
        .filter((part) => applyProgress(part, now))
        .map((part) => ({tag: 'progress', part, ageMilliseconds: 0})),
    recordEnd(process, waiting, endedAt, now) {
      const suspects = new Map<string, number>();
      for (const {parts, sentAt} of waiting) {
        for (const part of parts) {
          suspects.set(part, Math.max(sentAt, suspects.get(part) ?? -Infinity));
        }
      }
      const record: RecordOf<'end'> = {
        tag: 'end',
        process,
        ageMilliseconds: now - endedAt,
        suspects: evidence
          .limitSuspects([...suspects])
          .map(([part, sentAt]) => ({part, sentAgeMilliseconds: now - sentAt})),
      };
      return mergeEnd(record, now, true);
    },
    merge: (records, now) =>
      [...records]
        .sort((left, right) => MERGE_ORDER[left.tag] - MERGE_ORDER[right.tag])
        .flatMap((record) => mergers[record.tag](record as never, now)),
    list: (now) => [...evidence.list(now), ...quarantines.list(now)],
    dropExpired(now) {
      evidence.dropExpired(now);
      quarantines.dropExpired(now);
    },
    isQuarantined: quarantines.has,
    describe(part, now) {
      const progressAt = evidence.getProgressAt(part);
      return {
        strikes: countStrikes(part),
        progressAge: progressAt === -Infinity ? null : now - progressAt,
        ends: evidence
          .listEnds(part)
          .map(({process, endedAt}) => ({process, age: now - endedAt})),
      };
    },
  };
}
