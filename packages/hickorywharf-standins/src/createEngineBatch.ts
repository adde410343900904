import {ENGINE_MODEL} from './engineModel.ts';

/** A generation that runs in the engine's batch or waits for a slot in it. */
interface Sequence {
  /** Sequences with lower numbers start first. */
  readonly priority: number;
  prefillTokens: number;
  tokensLeft: number;
  /** Engine time spent on the prompt. */
  prefillMilliseconds: number;
  /** Engine time spent on the sequence, prefill included. */
  milliseconds: number;
  onPrefilled(): void;
  onToken(): void;
  onFinished(): void;
}

interface EngineBatch {
  submit(sequence: Sequence): void;
  /** Removes a generation; its slot becomes free immediately. */
  cancel(sequence: Sequence): void;
  getLoad(): {queued: number; running: number; capacity: number};
}

interface EngineBatchOptions {
  readonly capacity: number;
  readonly tokenMilliseconds: number;
  readonly getSlowness: () => number;
}

/** Time that steps are shortened by, at most, to make up for an overrun. */
const MAXIMUM_CATCH_UP_MILLISECONDS = 50;

/**
 * Simulates continuous batching. Each step decodes one token for every running
 * generation and prefills a chunk of at most one prompt; its duration grows
 * with the size of the batch and of the chunk.
 *
 * @example
 *     createEngineBatch({capacity: 4, tokenMilliseconds: 20, getSlowness}).submit(sequence);
 */
export function createEngineBatch(options: EngineBatchOptions): EngineBatch {
  const {capacity, tokenMilliseconds, getSlowness} = options;
  const waiting: Sequence[] = [];
  const running = new Set<Sequence>();
  let isStepping = false;
  let stepEndsAt = 0;

  function fillBatch(): void {
    while (running.size < capacity && waiting.length > 0) {
      const next = waiting.reduce((best, sequence) =>
        sequence.priority < best.priority ? sequence : best,
      );
      waiting.splice(waiting.indexOf(next), 1);
      running.add(next);
    }
  }

  function getPrefillChunk(): {sequence: Sequence | null; tokens: number} {
    for (const sequence of running) {
      if (sequence.prefillTokens <= 0) continue;
      const {prefillChunkTokens} = ENGINE_MODEL;
      const tokens = Math.min(prefillChunkTokens, sequence.prefillTokens);
      return {sequence, tokens};
    }
    return {sequence: null, tokens: 0};
  }

  function endStep(
    sequences: readonly Sequence[],
    chunk: ReturnType<typeof getPrefillChunk>,
    sharedMilliseconds: number,
    chunkMilliseconds: number,
  ): void {
    for (const sequence of sequences) {
      if (!running.has(sequence)) continue;
      sequence.milliseconds += sharedMilliseconds / sequences.length;
      if (sequence === chunk.sequence) {
        sequence.milliseconds += chunkMilliseconds;
        sequence.prefillMilliseconds +=
          sharedMilliseconds / sequences.length + chunkMilliseconds;
        sequence.prefillTokens -= chunk.tokens;
        if (sequence.prefillTokens <= 0) sequence.onPrefilled();
      }
      if (sequence.prefillTokens > 0) continue;
      sequence.tokensLeft -= 1;
      sequence.onToken();
      if (sequence.tokensLeft > 0) continue;
      running.delete(sequence);
      sequence.onFinished();
    }
    step();
  }

  function step(): void {
    fillBatch();
    isStepping = running.size > 0;
    if (!isStepping) return;
    const chunk = getPrefillChunk();
    const scaledTokenMilliseconds = tokenMilliseconds * getSlowness();
    const {fixedStepShare, batchStepShare, prefillTokenShare} = ENGINE_MODEL;
    const batchShare = batchStepShare * (running.size / capacity);
    const sharedMilliseconds =
      scaledTokenMilliseconds * (fixedStepShare + batchShare);
    const chunkMilliseconds =
      scaledTokenMilliseconds * prefillTokenShare * chunk.tokens;
    const now = performance.now();
    stepEndsAt =
      Math.max(stepEndsAt, now - MAXIMUM_CATCH_UP_MILLISECONDS) +
      sharedMilliseconds +
      chunkMilliseconds;
    const sequences = [...running];
    setTimeout(
      () => endStep(sequences, chunk, sharedMilliseconds, chunkMilliseconds),
      Math.max(0, stepEndsAt - now),
    );
  }

  return {
    submit(sequence) {
      waiting.push(sequence);
      if (isStepping) return;
      stepEndsAt = performance.now();
      step();
    },
    cancel(sequence) {
      running.delete(sequence);
      const index = waiting.indexOf(sequence);
      if (index !== -1) waiting.splice(index, 1);
    },
    getLoad: () => ({
      queued: waiting.length,
      running: running.size,
      capacity,
    }),
  };
}
