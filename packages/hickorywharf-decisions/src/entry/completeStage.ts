import type {StageOutput} from 'hickorywharf-types/stageOutput';
import {ENTRY_LIMITS} from './entryLimits.ts';
import type {EntryRows} from './entryRows.ts';
import type {EntryState} from './entryState.ts';
import {finishRequest} from './finishRequest.ts';
import {cancelAttempts} from './cancelAttempts.ts';

function updateEstimate(
  state: EntryState,
  request: EntryRows['request'],
  now: number,
): void {
  const key = `${request.pipeline.name}/${request.stageIndex}`;
  const elapsed = now - request.stageStartedAt;
  const known = state.estimates.get(key);
  if (known === undefined) {
    state.estimates.insert(key, {milliseconds: elapsed, samples: 1});
    return;
  }
  known.milliseconds +=
    (elapsed - known.milliseconds) * ENTRY_LIMITS.estimateWeight;
  known.samples += 1;
}

/**
 * Applies the complete result of a request's current stage: advances to the
 * next stage, or finishes the request after the last one.
 *
 * @example
 *     completeStage(state, request, output, now);
 *     request.phase; // 'ready', or 'finished' after the last stage
 */
export function completeStage(
  state: EntryState,
  request: EntryRows['request'],
  output: StageOutput,
  now: number,
): void {
  updateEstimate(state, request, now);
  // The first complete result is used. The other attempts, which are hedges or
  // superseded, are cancelled.
  cancelAttempts(state, request.requestId);
  request.outputs.push(output);
  // Token positions of the next generation start at 0.
  request.tokens.length = 0;
  request.stageIndex += 1;
  if (request.stageIndex >= request.pipeline.stages.length) {
    finishRequest(state, request, null);
    return;
  }
  request.phase = 'ready';
  request.readyAt = now;
  request.stageStartedAt = now;
  request.currentAttemptId = null;
  request.attemptsMade = 0;
  request.excluded.clear();
}
