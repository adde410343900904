import type bunyan from 'bunyan';
import type {EntryCommand} from 'hickorywharf-decisions/entry/entryCommand';
import type {HistoryRecorder} from 'hickorywharf-telemetry/historyRecorder';
import type {Responder} from './responder.ts';

type CommandOf<Tag> = Extract<EntryCommand, {tag: Tag}>;

interface Callers {
  readonly size: number;
  has(requestId: string): boolean;
  add(requestId: string, caller: Responder): void;
  deliverTokens(command: CommandOf<'deliverTokens'>): void;
  answer(command: CommandOf<'answer'>): void;
  fail(command: CommandOf<'fail'>): void;
}

/**
 * The callers whose requests are in flight, by request. Each is given its
 * outcome once.
 *
 * @example
 *     const callers = createResponderRegistry({history, logger});
 *     callers.add('r-1', caller);
 */
export function createResponderRegistry(options: {
  readonly history: HistoryRecorder;
  readonly logger: bunyan;
}): Callers {
  const {history, logger} = options;
  const callers = new Map<string, Responder>();

  function take(requestId: string): Responder | undefined {
    const caller = callers.get(requestId);
    callers.delete(requestId);
    return caller;
  }

  return {
    get size() {
      return callers.size;
    },
    has: (requestId) => callers.has(requestId),
    add: (requestId, caller) => void callers.set(requestId, caller),
    deliverTokens: ({requestId, position, tokens}) =>
      callers.get(requestId)?.deliverTokens(position, tokens),
    answer({requestId, outputs}) {
      history.record({tag: 'requestFinished', requestId, outcome: 'answered'});
      take(requestId)?.answer(outputs);
    },
    fail({requestId, error}) {
      const {outcome, step, peer, tag, message} = error;
      history.record({tag: 'requestFinished', requestId, outcome});
      logger.info({requestId, step, peer, outcome, tag}, message);
      take(requestId)?.fail(error);
    },
  };
}
