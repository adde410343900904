import type {StreamExchange} from 'hickorywharf-types/gateway/streamExchange';
import type {StreamOrigin} from 'hickorywharf-types/gateway/streamOrigin';

interface StreamQuestionsOptions {
  /** How long the answers of peers are waited for, in milliseconds. */
  readonly timeoutMilliseconds: number;
  /** Sends to a peer by name; false if it could not be sent. */
  send(peer: string, exchange: StreamExchange): boolean;
}

interface StreamQuestions {
  /**
   * Asks peers where a stream began. Null if none of them knows it, or none
   * answers in time; the first that knows it counts.
   */
  ask(
    peers: readonly string[],
    stream: Pick<StreamOrigin, 'streamId' | 'service'>,
  ): Promise<StreamOrigin | null>;
  /** Handles the answers of a peer; those that come too late are ignored. */
  handleAnswers(answers: NonNullable<StreamExchange['answers']>): void;
}

/**
 * Asks other instances where streams began, several at the same time.
 *
 * @example
 *     const questions = createStreamQuestions({timeoutMilliseconds: 500, send});
 *     await questions.ask(['front-2'], {streamId: '9c41', service: 'engines'});
 */
export function createStreamQuestions(
  options: StreamQuestionsOptions,
): StreamQuestions {
  const {timeoutMilliseconds, send} = options;
  /** Receive the answer to a question, by its id. */
  const receivers = new Map<number, (origin: StreamOrigin | null) => void>();
  let lastAskId = 0;

  return {
    ask: (peers, stream) =>
      new Promise((resolve) => {
        const open = new Set<number>();
        const finish = (origin: StreamOrigin | null): void => {
          clearTimeout(timer);
          for (const askId of open) receivers.delete(askId);
          resolve(origin);
        };
        const timer = setTimeout(() => finish(null), timeoutMilliseconds);
        const asked = peers.map((peer) => {
          lastAskId += 1;
          const askId = lastAskId;
          open.add(askId);
          receivers.set(askId, (origin) => {
            open.delete(askId);
            receivers.delete(askId);
            if (origin !== null || open.size === 0) finish(origin);
          });
          return {peer, askId};
        });
        // All are open before the first is sent, as one may fail at once.
        for (const {peer, askId} of asked) {
          if (send(peer, {questions: [{askId, ...stream}]})) continue;
          receivers.get(askId)?.(null);
        }
        if (peers.length === 0) finish(null);
      }),
    handleAnswers(answers) {
      for (const {askId, origin} of answers) receivers.get(askId)?.(origin);
    },
  };
}
