import type {StageOutput} from 'hickorywharf-types/stageOutput';

type Writer = (output: never) => Readonly<Record<string, unknown>>;

type GenerateOutput = Extract<StageOutput, {kind: 'generate'}>;
type CallOutput = Extract<StageOutput, {kind: 'call'}>;
type DocumentsOutput = Extract<StageOutput, {kind: 'retrieve' | 'rerank'}>;

const WRITERS: Record<StageOutput['kind'], Writer> = {
  encode: ({vector}: Extract<StageOutput, {kind: 'encode'}>) => ({vector}),
  retrieve: ({documents}: DocumentsOutput) => ({documents}),
  rerank: ({documents}: DocumentsOutput) => ({documents}),
  generate: ({tokens}: GenerateOutput) => ({text: tokens.join(' '), tokens}),
  call: ({response}: CallOutput) => ({response}),
};

/**
 * Creates the body of a complete answer. Each kind of stage adds its fields; a
 * later stage of the same kind overwrites those of an earlier one. A vector is
 * not part of the answer.
 *
 * @example
 *     createAnswer('r-1', outputs);
 */
export function createAnswer(
  requestId: string,
  outputs: readonly StageOutput[],
): Readonly<Record<string, unknown>> {
  const answer: Record<string, unknown> = {};
  for (const output of outputs) {
    Object.assign(answer, WRITERS[output.kind](output as never));
  }
  delete answer['vector'];
  return {requestId, outcome: 'answered', answer};
}
