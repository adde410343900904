import {hashNumber} from 'hickorywharf-utils/hashNumber';
import {ENGINE_MODEL} from './engineModel.ts';

interface CacheEvent {
  readonly number: number;
  readonly at: number;
  readonly kind: 'stored' | 'evicted';
  readonly block: number;
}

interface PrefixCache {
  /** Tokens at the start of a prompt that need no prefill. */
  getCachedTokens(text: string): number;
  store(text: string): void;
  getBlocks(text: string): number[];
  storeBlocks(blocks: readonly number[]): void;
  /** Events after a number that are old enough to be seen; some are lost. */
  getEvents(after: number): CacheEvent[];
}

const {blockTokens, charactersPerToken} = ENGINE_MODEL;
const BLOCK_CHARACTERS = blockTokens * charactersPerToken;

/**
 * A prefix cache of limited size that evicts the block unused for longest. Its
 * events come late and with gaps, as those of engines do.
 *
 * @example
 *     createPrefixCache(() => performance.now()).getCachedTokens('reel 7');
 */
export function createPrefixCache(getTime: () => number): PrefixCache {
  // A Map keeps the order of insertion: the first block is the oldest.
  const blocks = new Map<number, true>();
  const events: CacheEvent[] = [];
  let nextNumber = 1;

  function note(kind: CacheEvent['kind'], block: number): void {
    events.push({number: nextNumber, at: getTime(), kind, block});
    nextNumber += 1;
    if (events.length > ENGINE_MODEL.maximumCacheEvents) events.shift();
  }

  function getBlocks(text: string): number[] {
    const found: number[] = [];
    for (
      let end = BLOCK_CHARACTERS;
      end <= text.length;
      end += BLOCK_CHARACTERS
    ) {
      found.push(hashNumber(text.slice(0, end)));
    }
    return found;
  }

  function storeBlocks(stored: readonly number[]): void {
    for (const block of stored) {
      if (!blocks.delete(block)) note('stored', block);
      blocks.set(block, true);
      if (blocks.size <= ENGINE_MODEL.cacheBlocks) continue;
      const oldest = blocks.keys().next().value!;
      blocks.delete(oldest);
      note('evicted', oldest);
    }
  }

  return {
    getBlocks,
    storeBlocks,
    store: (text) => storeBlocks(getBlocks(text)),
    getCachedTokens(text) {
      const wanted = getBlocks(text);
      const missing = wanted.findIndex((block) => !blocks.has(block));
      return (missing === -1 ? wanted.length : missing) * blockTokens;
    },
    getEvents(after) {
      const newest = getTime() - ENGINE_MODEL.reportLagMilliseconds;
      return events.filter(
        ({number, at}) =>
          number > after &&
          at <= newest &&
          number % ENGINE_MODEL.lostCacheEvent !== 0,
      );
    },
  };
}
