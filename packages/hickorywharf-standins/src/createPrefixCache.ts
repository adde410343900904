import {hashNumber} from 'hickorywharf-utils/hashNumber';
import {ENGINE_MODEL} from './engineModel.ts';

interface CacheEvent {
  readonly number: number;
  readonly at: number;
  readonly kind: 'stored' | 'evicted';
  readonly block: number;
}

interface PrefixCache {
  /** Tokens at the start of a prompt whose blocks are cached. */
  getCachedTokens(text: string): number;
  store(text: string): void;
  /** Hashes of the prompt's whole blocks, each over the text up to its end. */
  getBlocks(text: string): number[];
  storeBlocks(blocks: readonly number[]): void;
  /** Visible events after a number; recent ones are delayed, some are lost. */
  getEvents(after: number): CacheEvent[];
}

const {blockTokens, charactersPerToken} = ENGINE_MODEL;
const BLOCK_CHARACTERS = blockTokens * charactersPerToken;

/**
 * Creates a prefix cache of limited size that evicts the least recently stored
 * block. Its events are delayed and have gaps, as those of real engines have.
 *
 * @param getTime monotonic milliseconds
 * @example
 *     createPrefixCache(() => performance.now()).getCachedTokens('a prompt');
 */
export function createPrefixCache(getTime: () => number): PrefixCache {
  // A Map keeps the insertion order, so the first block is the oldest.
  const blocks = new Map<number, true>();
  const events: CacheEvent[] = [];
  let nextNumber = 1;

  function recordEvent(kind: CacheEvent['kind'], block: number): void {
    events.push({number: nextNumber, at: getTime(), kind, block});
    nextNumber += 1;
    if (events.length > ENGINE_MODEL.maximumCacheEvents) events.shift();
  }

  function getBlocks(text: string): number[] {
    const hashes: number[] = [];
    for (
      let end = BLOCK_CHARACTERS;
      end <= text.length;
      end += BLOCK_CHARACTERS
    ) {
      hashes.push(hashNumber(text.slice(0, end)));
    }
    return hashes;
  }

  function storeBlocks(stored: readonly number[]): void {
    for (const block of stored) {
      if (!blocks.delete(block)) recordEvent('stored', block);
      blocks.set(block, true);
      if (blocks.size <= ENGINE_MODEL.cacheBlocks) continue;
      const oldest = blocks.keys().next().value!;
      blocks.delete(oldest);
      recordEvent('evicted', oldest);
    }
  }

  return {
    getBlocks,
    storeBlocks,
    store: (text) => storeBlocks(getBlocks(text)),
    getCachedTokens(text) {
      const promptBlocks = getBlocks(text);
      const missing = promptBlocks.findIndex((block) => !blocks.has(block));
      return (missing === -1 ? promptBlocks.length : missing) * blockTokens;
    },
    getEvents(after) {
      const visibleUntil = getTime() - ENGINE_MODEL.reportLagMilliseconds;
      return events.filter(
        ({number, at}) =>
          number > after &&
          at <= visibleUntil &&
          number % ENGINE_MODEL.lostCacheEvent !== 0,
      );
    },
  };
}
