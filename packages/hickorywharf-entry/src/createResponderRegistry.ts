import type bunyan from 'bunyan';
import type {EntryCommand} from 'hickorywharf-decisions/entry/entryCommand';
import type {HistoryRecorder} from 'hickorywharf-telemetry/historyRecorder';
import type {Responder} from './responder.ts';

type CommandOf<Tag> = Extract<EntryCommand, {tag: Tag}>;

interface ResponderRegistry {
  readonly size: number;
  has(requestId: string): boolean;
  add(requestId: string, responder: Responder): void;
  deliverTokens(command: CommandOf<'deliverTokens'>): void;
  answer(command: CommandOf<'answer'>): void;
  fail(command: CommandOf<'fail'>): void;
}

/**
 * Creates a registry of the responders of requests in flight, by request
 * identifier. Each is given one outcome and then removed.
 *
 * @example
 *     const responders = createResponderRegistry({history, logger});
 *     responders.add('r-1', responder);
 */
export function createResponderRegistry(options: {
  readonly history: HistoryRecorder;
  readonly logger: bunyan;
}): ResponderRegistry {
  const {history, logger} = options;
  const responders = new Map<string, Responder>();

  function remove(requestId: string): Responder | undefined {
    const responder = responders.get(requestId);
    responders.delete(requestId);
    return responder;
  }

  return {
    get size() {
      return responders.size;
    },
    has: (requestId) => responders.has(requestId),
    add: (requestId, responder) => void responders.set(requestId, responder),
    deliverTokens: ({requestId, position, tokens}) =>
      responders.get(requestId)?.deliverTokens(position, tokens),
    answer({requestId, outputs}) {
      history.record({tag: 'requestFinished', requestId, outcome: 'answered'});
      remove(requestId)?.answer(outputs);
    },
    fail({requestId, error}) {
      const {outcome, step, peer, tag, message} = error;
      history.record({tag: 'requestFinished', requestId, outcome});
      logger.info({requestId, step, peer, outcome, tag}, message);
      remove(requestId)?.fail(error);
    },
  };
}
