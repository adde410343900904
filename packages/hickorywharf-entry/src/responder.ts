import type {ServeError} from 'hickorywharf-types/serveError';
import type {StageOutput} from 'hickorywharf-types/stageOutput';

/** The caller's side of a request in flight. */
export interface Responder {
  deliverTokens(position: number, tokens: readonly string[]): void;
  answer(outputs: readonly StageOutput[]): void;
  fail(error: ServeError): void;
}
