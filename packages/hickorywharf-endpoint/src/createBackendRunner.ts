import type bunyan from 'bunyan';
import type {EndpointCommand} from 'hickorywharf-decisions/endpoint/endpointCommand';
import type {EndpointEvent} from 'hickorywharf-decisions/endpoint/endpointEvent';
import type {Backend} from 'hickorywharf-endpoints/backend';
import {createTokenBatcher} from './createTokenBatcher.ts';

interface BackendRunnerOptions {
  readonly backend: Backend;
  readonly logger: bunyan;
  /** Receives the events of the backend. */
  readonly feed: (event: EndpointEvent) => void;
}

interface BackendRunner {
  /** Starts an attempt and returns at once; its ending arrives as an event. */
  start(command: Extract<EndpointCommand, {tag: 'startBackend'}>): void;
  /** Aborts the call of an attempt; does nothing if none runs. */
  cancel(attemptId: string): void;
}

/**
 * Longest time that a token waits in a batch; well below the 35 ms between
 * tokens that callers are guaranteed.
 */
const TOKEN_BATCH_MILLISECONDS = 8;

/**
 * Runs attempts on the backend and passes its responses to `feed` as events.
 * Tokens are batched; the ending of an attempt follows its last tokens.
 * Failures are logged as warnings.
 *
 * @example
 *     const runner = createBackendRunner({backend, logger, feed});
 *     runner.cancel('a-1');
 */
export function createBackendRunner(
  options: BackendRunnerOptions,
): BackendRunner {
  const {backend, logger, feed} = options;
  const running = new Map<string, AbortController>();
  const batcher = createTokenBatcher({
    onTokens: (attemptId, tokens) =>
      feed({tag: 'backendTokens', attemptId, tokens}),
    schedule: (flush) => void setTimeout(flush, TOKEN_BATCH_MILLISECONDS),
  });

  return {
    start({attempt, remainingMilliseconds}) {
      const {attemptId, requestId} = attempt;
      const controller = new AbortController();
      running.set(attemptId, controller);
      const onTokens = (tokens: readonly string[]) =>
        batcher.add(attemptId, tokens);
      const {signal} = controller;
      void backend
        .run({attempt, remainingMilliseconds, onTokens, signal})
        .match(
          (output) => {
            running.delete(attemptId);
            batcher.end(attemptId);
            feed({tag: 'backendFinished', attemptId, output});
          },
          ({outcome, message, step, peer}) => {
            running.delete(attemptId);
            batcher.end(attemptId);
            logger.warn({requestId, step, peer, outcome}, message);
            feed({tag: 'backendFailed', attemptId, outcome, message});
          },
        );
    },
    cancel(attemptId) {
      running.get(attemptId)?.abort();
    },
  };
}
