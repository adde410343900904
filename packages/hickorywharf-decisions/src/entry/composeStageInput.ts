import type {StageInput} from 'hickorywharf-types/stageInput';
import type {StageKind} from 'hickorywharf-types/stageKind';
import type {StageOutput} from 'hickorywharf-types/stageOutput';
import {getCurrentStage} from './getCurrentStage.ts';
import type {EntryRows} from './entryRows.ts';

function getDocuments(outputs: readonly StageOutput[]): readonly string[] {
  const last = outputs.findLast(
    (output) => output.kind === 'rerank' || output.kind === 'retrieve',
  );
  return last !== undefined && 'documents' in last ? last.documents : [];
}

function getGenerations(outputs: readonly StageOutput[]): string[] {
  return outputs.flatMap((output) =>
    output.kind === 'generate' ? [output.tokens.join(' ')] : [],
  );
}

function getVector(outputs: readonly StageOutput[]): readonly number[] {
  const last = outputs.findLast((output) => output.kind === 'encode');
  return last?.kind === 'encode' ? last.vector : [];
}

/** The caller may lower the stage's limit on tokens, but not raise it. */
function getMaximumTokens(request: EntryRows['request']): number | undefined {
  const limit = getCurrentStage(request).maximumTokens;
  const requested = request.input.maximumTokens;
  if (limit === undefined || requested === undefined) return requested ?? limit;
  return Math.min(requested, limit);
}

type Composer = (request: EntryRows['request']) => StageInput;

const COMPOSERS: Record<StageKind, Composer> = {
  encode: ({input}) => ({text: input.text}),
  retrieve: ({input, outputs}) => ({
    text: input.text,
    vector: getVector(outputs),
  }),
  rerank: ({input, outputs}) => ({
    text: input.text,
    documents: getDocuments(outputs),
  }),
  generate: (request) => ({
    text: request.input.text,
    documents: [
      ...getDocuments(request.outputs),
      ...getGenerations(request.outputs),
    ],
    continuation: [...request.tokens],
    maximumTokens: getMaximumTokens(request),
  }),
  call: (request) => ({
    text: request.input.text,
    action: {
      name: getCurrentStage(request).action ?? 'call',
      parameters: request.input.action?.parameters ?? {},
    },
  }),
};

/**
 * Composes the input of a request's current stage from the caller's input and
 * the results of the earlier stages.
 *
 * @example
 *     composeStageInput(request); // {text: 'a toy'} for an encode stage
 */
export function composeStageInput(request: EntryRows['request']): StageInput {
  return COMPOSERS[getCurrentStage(request).kind](request);
}
