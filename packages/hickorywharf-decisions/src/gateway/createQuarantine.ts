import type {QuarantineRecord} from 'hickorywharf-types/gateway/quarantineRecord';
import {createQuarantineEvidence} from './createQuarantineEvidence.ts';
import {createQuarantineTable} from './createQuarantineTable.ts';
import {isRequestName} from './isRequestName.ts';

type RecordOf<Tag extends QuarantineRecord['tag']> = Extract<
  QuarantineRecord,
  {tag: Tag}
>;
type Table = ReturnType<typeof createQuarantineTable>;

/** Every `now` is in monotonic milliseconds. */
interface Quarantine extends Pick<
  Table,
  'setInstances' | 'check' | 'startTrial' | 'recordAsked' | 'getSize'
> {
  /** Records that an answer to a call went on; returns what to tell peers. */
  recordProgress(parts: readonly string[], now: number): QuarantineRecord[];
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
  ): QuarantineRecord[];
  /**
   * Merges what a peer told. Returns what was news to this instance, or is to
   * the peer, to tell all peers.
   */
  merge(records: readonly QuarantineRecord[], now: number): QuarantineRecord[];
  /** All that this instance knows, for a peer that has connected. */
  list(now: number): QuarantineRecord[];
  /** Drops what is too old. */
  dropExpired(now: number): void;
  isQuarantined(part: string): boolean;
  /**
   * Milliseconds for which a request is kept from the last endpoint of its
   * service that is left, as it has just ended others; 0 if it may be sent.
   *
   * @param processes those of the endpoints that may run it
   */
  getLastEndpointWait(
    request: string,
    processes: readonly string[],
    now: number,
  ): number;
  /** Whether any process ended, and it still counts. */
  hasEnds(): boolean;
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
/** Ends after which a request as a whole is quarantined. */
const MAXIMUM_REQUEST_ENDS = 3;
/** The same for one that has had whole answers: sound ones look like it. */
const MAXIMUM_PROVEN_REQUEST_ENDS = 4;
/**
 * Ends under other requests than one, without which this one explains them
 * better than a part of its prompt.
 */
const MINIMUM_OTHER_ENDS = 2;
/** An endpoint that has ended is back after about this time. */
const RESTART_MILLISECONDS = 3000;
/** Bounds the ended quarantines that are remembered. */
const MAXIMUM_ENDED = 1000;
/** Strikes from which a part is told as another suspect of the same ends. */
const SUSPECT_STRIKES = 2;
/** Bounds the parts that are told with one. */
const MAXIMUM_OTHERS = 16;

/** Progress and verdicts first, as they explain the ends. */
const MERGE_ORDER: Readonly<Record<QuarantineRecord['tag'], number>> = {
  progress: 0,
  verdict: 1,
  trial: 2,
  asked: 3,
  end: 4,
};

/**
 * Finds parts of prompts, and requests as a whole, that end the processes of
 * endpoints, and keeps calls with them from being sent. A part gets a strike if
 * a process ends while a call with the part waits that was sent after its
 * strike before; for a request, each end counts. An answer that goes on clears
 * a part, a whole answer a request, and ends the quarantine. Instances merge what
 * each of them observes, so that all reach the same verdict.
 *
 * @param name name of this instance
 * @example
 *     const quarantine = createQuarantine('front-1');
 *     quarantine.recordEnd('engine-1/17', [{parts: ['5c1e'], sentAt}], endedAt, now);
 *     quarantine.check(['5c1e'], now); // {tag: 'allowed'} before three strikes
 */
export function createQuarantine(name: string): Quarantine {
  const evidence = createQuarantineEvidence();
  const quarantines = createQuarantineTable(name, evidence.getProgressAt);
  /** The last quarantine of a part that an answer ended; it is not told anew. */
  const ended = new Map<string, string>();

  function quarantineAll(
    guilty: readonly string[],
    suspects: readonly string[],
    {id, startedAt}: {readonly id: string; readonly startedAt: number},
    now: number,
  ): QuarantineRecord[] {
    return guilty.map((part) => {
      const others = suspects
        .filter((other) => other !== part)
        .slice(0, MAXIMUM_OTHERS);
      quarantines.add(part, {id, startedAt, others, askedAt: now});
      if (!isRequestName(part)) releaseExplained(part, now);
      const ageMilliseconds = now - startedAt;
      return {tag: 'verdict', part, id, others, ageMilliseconds};
    });
  }

  const isProven = (suspect: string): boolean =>
    evidence.getProgressAt(suspect) > -Infinity;

  /** Whether the ends held against a request have reached the limit. */
  const isRequestGuilty = (request: string): boolean =>
    evidence.countEnds(request, quarantines.listParts()) >=
    (isProven(request) ? MAXIMUM_PROVEN_REQUEST_ENDS : MAXIMUM_REQUEST_ENDS);

  /**
   * Releases the requests that were quarantined for ends that the part, which
   * now is too, explains.
   */
  function releaseExplained(part: string, now: number): void {
    for (const request of quarantines.listParts().filter(isRequestName)) {
      const isExplained =
        evidence.countEnds(request, [part]) < evidence.countEnds(request, []);
      if (isExplained && !isRequestGuilty(request)) release(request, now);
    }
  }

  /** Whether the strikes of a part have, and no request explains them. */
  function isPartGuilty(part: string, strikes: number): boolean {
    const limit = isProven(part) ? MAXIMUM_PROVEN_STRIKES : MAXIMUM_STRIKES;
    return (
      strikes >= limit &&
      evidence.countEndsBesideRequest(part) >= MINIMUM_OTHER_ENDS
    );
  }

  /** Quarantines the suspects of an end that have reached their limits. */
  function conclude(
    suspects: readonly string[],
    end: {readonly id: string; readonly startedAt: number},
    now: number,
  ): QuarantineRecord[] {
    const open = suspects.filter((suspect) => !quarantines.has(suspect));
    const parts = open.filter((suspect) => !isRequestName(suspect));
    const explanations = quarantines
      .listParts()
      .filter((suspect) => !isRequestName(suspect));
    const strikes = evidence.countStrikes(parts, explanations);
    const guilty = parts.filter((part) =>
      isPartGuilty(part, strikes.get(part)!),
    );
    const others = parts.filter(
      (part) => strikes.get(part)! >= SUSPECT_STRIKES,
    );
    const verdicts = quarantineAll(guilty, others, end, now);
    // What a part explains is held against no request.
    const requests = open.filter(isRequestName).filter(isRequestGuilty);
    return [...verdicts, ...quarantineAll(requests, [], end, now)];
  }

  function mergeEnd(
    record: RecordOf<'end'>,
    now: number,
    isOwn = false,
  ): QuarantineRecord[] {
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
      // What a peer told looks later than it was, so that it proves nothing.
      .filter(
        (part) =>
          evidence.isProgressOwn(part) &&
          evidence.getProgressAt(part) > endedAt,
      )
      .map((part) => createProgress(part, now));
    const parts = suspects.map(({part}) => part);
    const end = {id: process, startedAt: endedAt};
    const verdicts = conclude(parts, end, now);
    return [...(added.length > 0 ? [told] : []), ...cleared, ...verdicts];
  }

  function createProgress(part: string, now: number): QuarantineRecord {
    const ageMilliseconds = now - evidence.getProgressAt(part);
    return {tag: 'progress', part, ageMilliseconds, isRelayed: false};
  }

  function recordEnded(part: string, id: string): void {
    ended.set(part, id);
    if (ended.size > MAXIMUM_ENDED) ended.delete(ended.keys().next().value!);
  }

  function release(part: string, at: number): ReturnType<Table['release']> {
    const released = quarantines.release(part, at);
    if (released !== null) recordEnded(part, released.id);
    return released;
  }

  /**
   * Applies progress at another instance. Returns whether it clears the part or
   * ends its quarantine.
   */
  function applyProgress(part: string, at: number): boolean {
    const isCleared = evidence.recordProgress(part, at, false);
    const isAlike = isRequestName(part) && !isRequestGuilty(part);
    return release(part, isAlike ? Infinity : at) !== null || isCleared;
  }

  /**
   * Quarantines the other suspects of the ends that a part was quarantined for,
   * which is sound.
   */
  function concludeRest(
    released: NonNullable<ReturnType<Table['release']>>,
    soundParts: readonly string[],
    now: number,
  ): QuarantineRecord[] {
    const {others, startedAt} = released;
    const rest = others.filter(
      (part) =>
        !soundParts.includes(part) &&
        !quarantines.has(part) &&
        evidence.getProgressAt(part) < startedAt,
    );
    return quarantineAll(rest, rest, released, now);
  }

  const mergers: {
    readonly [Tag in QuarantineRecord['tag']]: (
      record: RecordOf<Tag>,
      now: number,
    ) => QuarantineRecord[];
  } = {
    end: (record, now) => mergeEnd(record, now),
    progress(record, now) {
      const {part, ageMilliseconds} = record;
      const isNews = applyProgress(part, now - ageMilliseconds);
      // Each relay makes it look later, so that it is relayed only once.
      return isNews && !record.isRelayed ? [{...record, isRelayed: true}] : [];
    },
    verdict(record, now) {
      const {part, id, others, ageMilliseconds} = record;
      const startedAt = now - ageMilliseconds;
      if (quarantines.has(part) || ended.get(part) === id) return [];
      if (evidence.getSureProgressAt(part) > startedAt) {
        recordEnded(part, id);
        return [createProgress(part, now)];
      }
      if (isRequestName(part) && isProven(part) && !isRequestGuilty(part)) {
        // Not known to the peer, which quarantines it after fewer ends.
        recordEnded(part, id);
        return [createProgress(part, now)];
      }
      quarantines.add(part, {id, startedAt, others, askedAt: startedAt});
      if (!isRequestName(part)) releaseExplained(part, now);
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
      parts.flatMap((part): QuarantineRecord[] => {
        const isCleared = evidence.recordProgress(part, now, true);
        const released = release(part, now);
        if (released === null && !isCleared) return [];
        const record = {
          tag: 'progress',
          part,
          ageMilliseconds: 0,
          isRelayed: false,
        } as const;
        return [
          record,
          ...(released ? concludeRest(released, parts, now) : []),
        ];
      }),
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
    getLastEndpointWait(request, processes, now) {
      const left = processes.filter((process) => !evidence.hasEnded(process));
      if (left.length > 1) return 0;
      const likelyEndAt = evidence.getLikelyEndAt(request);
      return Math.max(0, likelyEndAt + RESTART_MILLISECONDS - now);
    },
    hasEnds: evidence.hasEnds,
    describe(part, now) {
      const progressAt = evidence.getProgressAt(part);
      return {
        strikes: evidence
          .countStrikes([part], quarantines.listParts())
          .get(part)!,
        progressAge: progressAt === -Infinity ? null : now - progressAt,
        ends: evidence
          .listEnds(part)
          .map(({process, endedAt}) => ({process, age: now - endedAt})),
      };
    },
  };
}
