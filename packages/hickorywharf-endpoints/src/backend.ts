import type {ResultAsync} from 'neverthrow';
import type {Frame} from 'hickorywharf-types/frame';
import type {StageOutput} from 'hickorywharf-types/stageOutput';
import type {BackendError} from './backendError.ts';

interface RunOptions {
  readonly attempt: Extract<Frame, {tag: 'attempt'}>;
  readonly remainingMilliseconds: number;
  readonly onTokens: (tokens: readonly string[]) => void;
  /** Cancels the work, at the backend too. */
  readonly signal: AbortSignal;
}

/** What an endpoint process runs attempts on. */
export interface Backend {
  run(options: RunOptions): ResultAsync<StageOutput, BackendError>;
}
