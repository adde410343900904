import type {WorkLog} from 'hickorywharf-standins/workLog';
import type {CallRecord} from './callRecord.ts';

type WorkItem = WorkLog['items'][number];
/**
 * What a backend's work was used for: a good answer (`useful`), a call without
 * one (`expired`, or `cancelled` if the work was), another attempt than the one
 * that a good answer came from (`lostAttempt`), or a shared prefix of a prompt
 * that the cache did not have (`recomputedPrefix`).
 */
type Use =
  'useful' | 'expired' | 'lostAttempt' | 'cancelled' | 'recomputedPrefix';

interface WorkSummary {
  /** Milliseconds of backend work by stage and use. */
  readonly byStage: Readonly<Record<string, Record<Use, number>>>;
  /** Ratio of repeated to first attempts of the requests' stages. */
  readonly extraShare: number;
  /** Share of the engines' time that was not `useful`. */
  readonly engineWasteShare: number;
}

const CHARACTERS_PER_TOKEN = 4;

function createUses(): Record<Use, number> {
  return {
    useful: 0,
    expired: 0,
    lostAttempt: 0,
    cancelled: 0,
    recomputedPrefix: 0,
  };
}

/** Time spent on the uncached part of a prefix that other prompts share. */
function getRecomputedMilliseconds(item: WorkItem, record: CallRecord): number {
  const shared = record.call.prefixCharacters / CHARACTERS_PER_TOKEN;
  const uncached = item.promptTokens - item.cachedTokens;
  const recomputedTokens = shared - item.cachedTokens;
  if (recomputedTokens <= 0 || uncached <= 0) return 0;
  return item.prefillMilliseconds * (recomputedTokens / uncached);
}

function classifyWork(
  item: WorkItem,
  record: CallRecord | undefined,
  isFirst: boolean,
): Use {
  if (record?.isGood !== true) {
    return item.ending === 'cancelled' ? 'cancelled' : 'expired';
  }
  return isFirst && item.ending === 'finished' ? 'useful' : 'lostAttempt';
}

/**
 * Separates the backend work that went into good answers from the wasted work.
 *
 * @param items in the order of each backend's log; of the attempts of a
 *   request's stage only the first finished one can be useful
 * @example
 *     summarizeWork(items, records).engineWasteShare;
 */
export function summarizeWork(
  items: readonly WorkItem[],
  records: readonly CallRecord[],
): WorkSummary {
  const byRequest = new Map(
    records.map((record) => [record.requestId, record]),
  );
  const finished = new Set<string>();
  const started = new Set<string>();
  const byStage: Record<string, Record<Use, number>> = {};
  for (const item of items) {
    const record = byRequest.get(item.requestId);
    const key = `${item.requestId}/${item.stage}`;
    const use = classifyWork(item, record, !finished.has(key));
    started.add(key);
    if (item.ending === 'finished') finished.add(key);
    const uses = (byStage[item.stage] ??= createUses());
    const recomputed =
      use === 'useful' && record !== undefined
        ? getRecomputedMilliseconds(item, record)
        : 0;
    uses[use] += item.milliseconds - recomputed;
    uses.recomputedPrefix += recomputed;
  }
  const engine = byStage['generate'] ?? createUses();
  const total = Object.values(engine).reduce((sum, part) => sum + part, 0);
  return {
    byStage,
    extraShare: started.size === 0 ? 0 : items.length / started.size - 1,
    engineWasteShare: total === 0 ? 0 : 1 - engine.useful / total,
  };
}
