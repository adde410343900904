import type {ServeError} from 'hickorywharf-types/serveError';
import type {StageOutput} from 'hickorywharf-types/stageOutput';

/**
 * Responds to the caller of a request in flight. Either `answer` or `fail` is
 * called, once and last.
 */
export interface Responder {
  /** @param position of the first token in the whole generation, from 0 */
  deliverTokens(position: number, tokens: readonly string[]): void;
  answer(outputs: readonly StageOutput[]): void;
  fail(error: ServeError): void;
}
