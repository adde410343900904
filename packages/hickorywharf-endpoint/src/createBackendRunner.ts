import type bunyan from 'bunyan';
import type {EndpointCommand} from 'hickorywharf-decisions/endpoint/endpointCommand';
import type {EndpointEvent} from 'hickorywharf-decisions/endpoint/endpointEvent';
import type {Backend} from 'hickorywharf-endpoints/backend';

interface BackendRunnerOptions {
  readonly backend: Backend;
  readonly logger: bunyan;
  readonly feed: (event: EndpointEvent) => void;
}

interface BackendRunner {
  start(command: Extract<EndpointCommand, {tag: 'startBackend'}>): void;
  /** Cancels an attempt at the backend too. */
  cancel(attemptId: string): void;
}

/**
 * Runs attempts on the backend and feeds back what it says.
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

  return {
    start({attempt, remainingMilliseconds}) {
      const {attemptId, requestId} = attempt;
      const controller = new AbortController();
      running.set(attemptId, controller);
      const onTokens = (tokens: readonly string[]) =>
        feed({tag: 'backendTokens', attemptId, tokens});
      const {signal} = controller;
      void backend
        .run({attempt, remainingMilliseconds, onTokens, signal})
        .match(
          (output) => {
            running.delete(attemptId);
            feed({tag: 'backendFinished', attemptId, output});
          },
          ({outcome, message, step, peer}) => {
            running.delete(attemptId);
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
