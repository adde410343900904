import {expectedContent} from 'hickorywharf-standins/expectedContent';
import type {ConfigurationRecord} from 'hickorywharf-types/record';

type PipelineRecord = Extract<ConfigurationRecord, {kind: 'pipeline'}>;

interface CallInput {
  readonly text: string;
  readonly parameters: Readonly<Record<string, unknown>>;
  readonly maximumTokens: number;
}

interface ExpectedAnswer {
  text?: string;
  tokens?: string[];
  documents?: string[];
  response?: Record<string, unknown>;
}

/**
 * Computes the answer that a call of a pipeline should return when the
 * stand-ins serve as its backends. Runs the pipeline's stages in order, without
 * sending requests.
 *
 * @example
 *     const input = {text: 'reel', parameters: {}, maximumTokens: 4};
 *     createExpectedAnswer(pipeline, input).text;
 */
export function createExpectedAnswer(
  pipeline: PipelineRecord,
  input: CallInput,
): ExpectedAnswer {
  const {text, parameters, maximumTokens} = input;
  const answer: ExpectedAnswer = {};
  let vector: number[] = [];
  let documents: string[] = [];
  for (const stage of pipeline.stages) {
    if (stage.kind === 'encode') vector = expectedContent.encode(text);
    if (stage.kind === 'retrieve') {
      documents = answer.documents = expectedContent.retrieve(vector);
    }
    if (stage.kind === 'rerank') {
      documents = answer.documents = expectedContent.rerank(text, documents);
    }
    if (stage.kind === 'generate') {
      const prompt = {text, documents};
      answer.tokens = Array.from({length: maximumTokens}, (_, position) =>
        expectedContent.token(prompt, position),
      );
      answer.text = answer.tokens.join(' ');
    }
    if (stage.kind === 'call') {
      const action = stage.action ?? 'call';
      answer.response = expectedContent.call(action, text, parameters);
    }
  }
  return answer;
}
