import type {ResultAsync} from 'neverthrow';
import type {Frame} from 'hickorywharf-types/frame';
import type {StageOutput} from 'hickorywharf-types/stageOutput';
import type {BackendError} from './backendError.ts';

interface RunOptions {
  readonly attempt: Extract<Frame, {tag: 'attempt'}>;
  /** Time until the deadline of the request. */
  readonly remainingMilliseconds: number;
  /** Called with each group of tokens, in order; only a generation has some. */
  readonly onTokens: (tokens: readonly string[]) => void;
  /** Cancels the attempt here and at the backend. */
  readonly signal: AbortSignal;
}

/** The adapter through which an endpoint process calls its backend. */
export interface Backend {
  /** Runs one attempt; resolves to its output once that is complete. */
  run(options: RunOptions): ResultAsync<StageOutput, BackendError>;
}
