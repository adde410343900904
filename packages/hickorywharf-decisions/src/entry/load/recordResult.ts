import type {Frame} from 'hickorywharf-types/frame';
import type {EntryRows} from '../entryRows.ts';
import type {EntryState} from '../entryState.ts';
import {getOrCreatePrefixRow} from './getOrCreatePrefixRow.ts';
import {getOrCreateLatencyRow} from './getOrCreateLatencyRow.ts';
import {updateMovingAverage} from './updateMovingAverage.ts';

type ResultFrame = Extract<Frame, {tag: 'result'}>;

/**
 * Updates the statistics with a result: the usual times of the stage and of its
 * pool, the slowness and probation of the endpoint, and the reuse of the prompt
 * prefix.
 *
 * @example
 *     recordResult(state, request, attempt, frame, now);
 *     state.load.serviceMilliseconds.get('lend/0'); // 40
 */
export function recordResult(
  state: EntryState,
  request: EntryRows['request'],
  attempt: EntryRows['attempt'],
  frame: ResultFrame,
  now: number,
): void {
  const {load} = state;
  const stage = request.pipeline.stages[attempt.stageIndex];
  if (stage === undefined) return;
  const {backendMilliseconds, output} = frame;
  const key = `${request.pipeline.name}/${attempt.stageIndex}`;
  const usual = load.serviceMilliseconds.get(key);
  const latency = getOrCreateLatencyRow(load, attempt.endpoint);
  if (usual !== undefined && usual > 0) {
    latency.slowness = updateMovingAverage(
      latency.slowness,
      backendMilliseconds / usual,
    );
    latency.samples += 1;
    if (latency.isOnProbation && backendMilliseconds < 2 * usual) {
      latency.isOnProbation = false;
      latency.ejections = Math.max(0, latency.ejections - 1);
    }
  }
  load.serviceMilliseconds.set(
    key,
    updateMovingAverage(usual, backendMilliseconds),
  );
  const poolKey = `pool/${stage.pool}`;
  const usualOfPool = load.serviceMilliseconds.get(poolKey);
  load.serviceMilliseconds.set(
    poolKey,
    updateMovingAverage(usualOfPool, backendMilliseconds),
  );
  if (output.kind !== 'generate') return;
  const prefix = getOrCreatePrefixRow(load, request.input.text);
  if (prefix === null) return;
  // A cache miss says nothing about how many tokens reuse saves.
  if (output.cachedTokens > 0) {
    prefix.reusedTokens = updateMovingAverage(
      prefix.reusedTokens,
      output.cachedTokens,
    );
  }
  prefix.cachedAt.set(attempt.endpoint, now);
}
