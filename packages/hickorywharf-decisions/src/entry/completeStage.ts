import type {StageOutput} from 'hickorywharf-types/stageOutput';
import {ENTRY_LIMITS} from './entryLimits.ts';
import type {EntryRows} from './entryRows.ts';
import type {EntryState} from './entryState.ts';
import {finishRequest} from './finishRequest.ts';
import {cancelAttempts} from './cancelAttempts.ts';

function learnEstimate(
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
 * Takes a whole result of a request's current stage: goes on to the next stage
 * or gives the answer.
 *
 * @example
 *     completeStage(state, request, output, now);
 */
export function completeStage(
  state: EntryState,
  request: EntryRows['request'],
  output: StageOutput,
  now: number,
): void {
  learnEstimate(state, request, now);
  // Hedges and superseded attempts: the first whole result counts.
  cancelAttempts(state, request.requestId);
  request.outputs.push(output);
  // A later generation counts its positions from 0.
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
