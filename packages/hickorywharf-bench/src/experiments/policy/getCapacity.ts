import {ENGINE_MODEL} from 'hickorywharf-standins/engineModel';
import type {LoadKind} from '../../load/loadKind.ts';
import {standInCosts} from './standInCosts.ts';

function getMean([minimum, maximum]: readonly [number, number]): number {
  return (minimum + maximum) / 2;
}

/** Time that a request of a kind keeps a place of an engine's full batch. */
function getSlotMilliseconds(kind: LoadKind): number {
  if (kind.tokens[1] <= 1) return 0;
  const {tokenMilliseconds, workMilliseconds, capacity} = standInCosts.engines;
  const promptTokens =
    getMean(kind.characters) / ENGINE_MODEL.charactersPerToken;
  const chunks = Math.ceil(promptTokens / ENGINE_MODEL.prefillChunkTokens);
  const steps = getMean(kind.tokens) + chunks - 1;
  // A chunk of a prompt holds up the whole batch.
  const prefill = promptTokens * ENGINE_MODEL.prefillTokenShare * capacity;
  return workMilliseconds + tokenMilliseconds * (steps + prefill);
}

const MILLISECONDS = 1000;

/**
 * Requests of a mix that the engines, the scarcest of the pools, can answer in
 * a second when their batches are always full.
 *
 * @example
 *     getCapacity(loadMixes.authority, 8);
 */
export function getCapacity(mix: readonly LoadKind[], engines: number): number {
  const total = mix.reduce((sum, {weight}) => sum + weight, 0);
  const mean = mix.reduce(
    (sum, kind) => sum + (kind.weight / total) * getSlotMilliseconds(kind),
    0,
  );
  return (engines * standInCosts.engines.capacity * MILLISECONDS) / mean;
}
