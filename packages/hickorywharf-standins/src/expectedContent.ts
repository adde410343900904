import {hashNumber} from 'hickorywharf-utils/hashNumber';

const VECTOR_LENGTH = 4;
const DOCUMENT_COUNT = 4;
const WORDS = 10_000;

interface Prompt {
  readonly text: string;
  readonly documents?: readonly string[];
}

/**
 * Computes the content of the stand-ins' responses. It depends only on the
 * input, so a response that belongs to another request is detected by its
 * content.
 *
 * @example
 *     expectedContent.encode('a text'); // four numbers
 */
export const expectedContent = {
  encode: (text: string): number[] =>
    Array.from({length: VECTOR_LENGTH}, (_, index) =>
      hashNumber(`vector/${index}/${text}`),
    ),
  retrieve: (vector: readonly number[]): string[] =>
    Array.from(
      {length: DOCUMENT_COUNT},
      (_, index) => `document-${hashNumber(`${vector.join('/')}/${index}`)}`,
    ),
  rerank: (text: string, documents: readonly string[]): string[] =>
    documents.toSorted(
      (left, right) =>
        hashNumber(`${text}/${left}`) - hashNumber(`${text}/${right}`),
    ),
  token: (prompt: Prompt, position: number): string => {
    const source = `${prompt.text}/${(prompt.documents ?? []).join('/')}`;
    return `w${hashNumber(`${source}/${position}`) % WORDS}`;
  },
  call: (
    action: string,
    text: string,
    parameters: Readonly<Record<string, unknown>>,
  ): Record<string, unknown> => ({
    confirmation: hashNumber(`${action}/${text}/${JSON.stringify(parameters)}`),
  }),
} as const;
