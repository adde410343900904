import {ENGINE_MODEL} from './engineModel.ts';

/** One generation in the engine's batch or before it. */
interface Sequence {
  /** The lowest starts first. */
  readonly priority: number;
  prefillTokens: number;
  tokensLeft: number;
  prefillMilliseconds: number;
  milliseconds: number;
  onPrefilled(): void;
  onToken(): void;
  onFinished(): void;
}

interface EngineBatch {
  submit(sequence: Sequence): void;
  /** Takes a generation out; its slot is free at once. */
  cancel(sequence: Sequence): void;
  getLoad(): {queued: number; running: number; capacity: number};
}

interface EngineBatchOptions {
  readonly capacity: number;
  readonly tokenMilliseconds: number;
  readonly getSlowness: () => number;
}

/** A step that overran is not made up for beyond this, in milliseconds. */
const MAXIMUM_CATCH_UP = 50;

/**
 * Continuous batching: each step gives every running generation one token and
 * takes in a chunk of one waiting prompt; a step grows with both.
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

  function fill(): void {
    while (running.size < capacity && waiting.length > 0) {
      const next = waiting.reduce((best, sequence) =>
        sequence.priority < best.priority ? sequence : best,
      );
      waiting.splice(waiting.indexOf(next), 1);
      running.add(next);
    }
  }

  function takeChunk(): {sequence: Sequence | null; tokens: number} {
    for (const sequence of running) {
      if (sequence.prefillTokens <= 0) continue;
      const {prefillChunkTokens} = ENGINE_MODEL;
      const tokens = Math.min(prefillChunkTokens, sequence.prefillTokens);
      return {sequence, tokens};
    }
    return {sequence: null, tokens: 0};
  }

  function endStep(
    members: readonly Sequence[],
    chunk: ReturnType<typeof takeChunk>,
    shared: number,
    prefill: number,
  ): void {
    for (const sequence of members) {
      if (!running.has(sequence)) continue;
      sequence.milliseconds += shared / members.length;
      if (sequence === chunk.sequence) {
        sequence.milliseconds += prefill;
        sequence.prefillMilliseconds += shared / members.length + prefill;
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
    fill();
    isStepping = running.size > 0;
    if (!isStepping) return;
    const chunk = takeChunk();
    const scaled = tokenMilliseconds * getSlowness();
    const {fixedStepShare, batchStepShare, prefillTokenShare} = ENGINE_MODEL;
    const growth = batchStepShare * (running.size / capacity);
    const shared = scaled * (fixedStepShare + growth);
    const prefill = scaled * prefillTokenShare * chunk.tokens;
    const now = performance.now();
    stepEndsAt =
      Math.max(stepEndsAt, now - MAXIMUM_CATCH_UP) + shared + prefill;
    const members = [...running];
    setTimeout(
      () => endStep(members, chunk, shared, prefill),
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
