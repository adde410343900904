import type {Frame} from 'hickorywharf-types/frame';
import type {EntryRows} from '../entryRows.ts';
import type {EntryState} from '../entryState.ts';
import {getPrefixRow} from './getPrefixRow.ts';
import {getLatencyRow} from './getLatencyRow.ts';
import {updateMovingAverage} from './updateMovingAverage.ts';

type ResultFrame = Extract<Frame, {tag: 'result'}>;

/**
 * Learns from a result: the time of the stage, how its endpoint compares, and
 * whether the prefix was still cached there.
 *
 * @example
 *     recordResult(state, request, attempt, frame, now);
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
  const speed = getLatencyRow(load, attempt.endpoint);
  if (usual !== undefined && usual > 0) {
    speed.slowness = updateMovingAverage(
      speed.slowness,
      backendMilliseconds / usual,
    );
    speed.samples += 1;
    if (speed.isOnProbation && backendMilliseconds < 2 * usual) {
      speed.isOnProbation = false;
      speed.ejections = Math.max(0, speed.ejections - 1);
    }
  }
  load.serviceMilliseconds.set(
    key,
    updateMovingAverage(usual, backendMilliseconds),
  );
  const poolKey = `pool/${stage.pool}`;
  const ofPool = load.serviceMilliseconds.get(poolKey);
  load.serviceMilliseconds.set(
    poolKey,
    updateMovingAverage(ofPool, backendMilliseconds),
  );
  if (output.kind !== 'generate') return;
  const prefix = getPrefixRow(load, request.input.text);
  if (prefix === null) return;
  // A cold engine says nothing of what reuse would have saved.
  if (output.cachedTokens > 0) {
    prefix.reusedTokens = updateMovingAverage(
      prefix.reusedTokens,
      output.cachedTokens,
    );
  }
  prefix.cachedAt.set(attempt.endpoint, now);
}
