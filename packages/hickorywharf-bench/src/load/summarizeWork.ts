import type {WorkLog} from 'hickorywharf-standins/workLog';
import type {CallRecord} from './callRecord.ts';

type WorkItem = WorkLog['items'][number];
type Use =
  'useful' | 'expired' | 'lostAttempt' | 'cancelled' | 'recomputedPrefix';

interface WorkSummary {
  /** Milliseconds by stage and by what they were good for. */
  readonly byStage: Readonly<Record<string, Record<Use, number>>>;
  /** Attempts beyond the first of a request's stage, as a share of the first. */
  readonly extraShare: number;
  /** Share of the engines' time that went into no useful answer. */
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

/** Time spent on a part of the prompt that other requests start with too. */
function getRecomputed(item: WorkItem, record: CallRecord): number {
  const shared = record.call.prefixCharacters / CHARACTERS_PER_TOKEN;
  const uncached = item.promptTokens - item.cachedTokens;
  const again = shared - item.cachedTokens;
  if (again <= 0 || uncached <= 0) return 0;
  return item.prefillMilliseconds * (again / uncached);
}

function getUse(
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
 * Tells the work that went into good answers from the rest.
 *
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
  const begun = new Set<string>();
  const byStage: Record<string, Record<Use, number>> = {};
  for (const item of items) {
    const record = byRequest.get(item.requestId);
    const key = `${item.requestId}/${item.stage}`;
    const use = getUse(item, record, !finished.has(key));
    begun.add(key);
    if (item.ending === 'finished') finished.add(key);
    const uses = (byStage[item.stage] ??= createUses());
    const recomputed =
      use === 'useful' && record !== undefined
        ? getRecomputed(item, record)
        : 0;
    uses[use] += item.milliseconds - recomputed;
    uses.recomputedPrefix += recomputed;
  }
  const engine = byStage['generate'] ?? createUses();
  const total = Object.values(engine).reduce((sum, part) => sum + part, 0);
  return {
    byStage,
    extraShare: begun.size === 0 ? 0 : items.length / begun.size - 1,
    engineWasteShare: total === 0 ? 0 : 1 - engine.useful / total,
  };
}
