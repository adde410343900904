import type {Outcome} from './outcome.ts';
import type {RefusalReason} from './refusalReason.ts';
import type {Step} from './step.ts';

/** What all errors have in common. */
interface ErrorOrigin {
  /** Where the error occurred. */
  readonly step: Step;
  /** The other process, if one was involved; else null. */
  readonly peer: string | null;
  /** Outcome of the request. */
  readonly outcome: Outcome;
  readonly message: string;
}

/**
 * Every error that a caller can receive. The tag selects the HTTP status and
 * the problem type; see `toProblem` in the entry package.
 */
export type ServeError = ErrorOrigin &
  (
    | {readonly tag: 'invalidRequest'; readonly field: string}
    | {readonly tag: 'bodyTooLarge'; readonly limitBytes: number}
    | {readonly tag: 'unsupportedMediaType'}
    | {readonly tag: 'unauthenticated'}
    /** `nearest` is the most similar known name; null if none is similar. */
    | {readonly tag: 'unknownPipeline'; readonly nearest: string | null}
    | {readonly tag: 'notReady'}
    | {readonly tag: 'overloaded'; readonly retryAfterSeconds: number}
    | {readonly tag: 'noEndpoint'; readonly pool: string}
    | {readonly tag: 'refused'; readonly reason: RefusalReason}
    | {readonly tag: 'keyConflict'}
    | {readonly tag: 'deadlineExceeded'}
    | {readonly tag: 'peerLost'}
    | {readonly tag: 'backendFailed'}
    | {readonly tag: 'callerGone'}
    | {readonly tag: 'unknownPath'}
    | {readonly tag: 'internalError'}
  );
