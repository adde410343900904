import {ENGINE_MODEL} from 'hickorywharf-standins/engineModel';
import type {LoadKind} from '../../load/loadKind.ts';
import {standInCosts} from './standInCosts.ts';

function getMean([minimum, maximum]: readonly [number, number]): number {
  return (minimum + maximum) / 2;
}

/** Time that a request of a kind occupies a slot of an engine's full batch. */
function getSlotMilliseconds(kind: LoadKind): number {
  if (kind.tokens[1] <= 1) return 0;
  const {tokenMilliseconds, workMilliseconds, capacity} = standInCosts.engines;
  const promptTokens =
    getMean(kind.characters) / ENGINE_MODEL.charactersPerToken;
  const chunks = Math.ceil(promptTokens / ENGINE_MODEL.prefillChunkTokens);
  const steps = getMean(kind.tokens) + chunks - 1;
  // Prefilling a chunk of a prompt delays every request of the batch.
  const prefill = promptTokens * ENGINE_MODEL.prefillTokenShare * capacity;
  return workMilliseconds + tokenMilliseconds * (steps + prefill);
}

const MILLISECONDS_PER_SECOND = 1000;

/**
 * Requests of a mix per second that the engines can finish with full batches.
 * The engines are the pool that saturates first.
 *
 * @example
 *     getCapacity(loadMixes.authority, 8);
 */
export function getCapacity(mix: readonly LoadKind[], engines: number): number {
  const totalWeight = mix.reduce((sum, {weight}) => sum + weight, 0);
  const meanSlotMilliseconds = mix.reduce(
    (sum, kind) =>
      sum + (kind.weight / totalWeight) * getSlotMilliseconds(kind),
    0,
  );
  return (
    (engines * standInCosts.engines.capacity * MILLISECONDS_PER_SECOND) /
    meanSlotMilliseconds
  );
}
