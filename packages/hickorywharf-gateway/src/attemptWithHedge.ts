import type {GatewayEndpoint} from 'hickorywharf-types/gateway/gatewayEndpoint';
import {attemptCall} from './attemptCall.ts';
import type {AttemptResult} from './attemptResult.ts';
import type {CallContext} from './callContext.ts';
import {createEventSplitter} from './createEventSplitter.ts';
import type {Hedger} from './hedger.ts';

type AttemptOptions = Parameters<typeof attemptCall>[0];
type Relay = AttemptOptions['relay'];

interface HedgedAttemptOptions {
  /** The options of the first attempt. */
  readonly first: AttemptOptions;
  /** Decides on a second attempt, within the limits of all calls. */
  readonly hedger: Hedger;
  /** The facts of the call when a second attempt is decided on. */
  getFacts: Parameters<Hedger['watch']>[0]['getFacts'];
  /** Another endpoint that may get the call now; undefined for none. */
  findOther(): GatewayEndpoint | undefined;
  /** The options that a second attempt at this endpoint has of its own. */
  getSecond(
    endpoint: GatewayEndpoint,
  ): Pick<
    AttemptOptions,
    'endpoint' | 'watch' | 'onFirstEvent' | 'responseTimeoutMilliseconds'
  >;
}

interface HedgedResult {
  readonly result: AttemptResult;
  /** The endpoint that the result is from. */
  readonly endpoint: GatewayEndpoint;
  /** Has the events that were passed on; a resumed stream needs the last id. */
  readonly splitter: AttemptOptions['splitter'];
  /** The other attempt, if there was one; null otherwise. */
  readonly other: {
    readonly endpoint: GatewayEndpoint;
    /** Whether the call may have run there. */
    readonly mayHaveRun: boolean;
  } | null;
}

interface Racer {
  readonly options: AttemptOptions;
  readonly startedAt: number;
  result: AttemptResult | null;
  /** Ends the attempt and releases what it holds. */
  abandon(): void;
}

/** Whether the attempt may have run the call. */
function mayHaveRun(result: AttemptResult | null): boolean {
  return result?.tag !== 'notRun' && result?.tag !== 'inputGone';
}

/**
 * Sends a call to an endpoint and, if that is slower than usual, to a second one
 * beside it. The first answer that begins goes to the caller; the other attempt
 * is abandoned, so that its endpoint stops working on it. If one of them fails,
 * the other decides.
 *
 * @returns never rejects
 * @example
 *     const {result, endpoint} = await attemptWithHedge(options);
 */
export function attemptWithHedge(
  input: HedgedAttemptOptions,
): Promise<HedgedResult> {
  const {first, hedger} = input;
  const {context, now} = first;
  /** A silence during the race: the second attempt takes a search's place. */
  let delayedSearch: (() => void) | null = null;

  return new Promise((resolve) => {
    const racers: Racer[] = [];
    let winner: Racer | null = null;
    let isDone = false;

    const isRacing = (): boolean =>
      racers.filter(({result}) => result === null).length > 1;

    function finish(racer: Racer): void {
      if (isDone) return;
      isDone = true;
      watch.end();
      const other = racers.find((each) => each !== racer);
      const {endpoint, splitter} = racer.options;
      resolve({
        result: racer.result!,
        endpoint,
        splitter,
        other: other
          ? {
              endpoint: other.options.endpoint,
              mayHaveRun: mayHaveRun(other.result),
            }
          : null,
      });
    }

    /** False if the other attempt has begun to answer. */
    function claim(racer: Racer): boolean {
      winner ??= racer;
      if (winner !== racer) return false;
      for (const other of racers) {
        if (other === racer || other.result !== null) continue;
        const elapsed = now() - other.startedAt;
        hedger.recordSlow(
          context.service.name,
          other.options.endpoint,
          elapsed,
        );
        other.abandon();
      }
      return true;
    }

    function createRelay(getRacer: () => Racer): Relay {
      const {relay} = first;
      return {
        ...relay,
        get isStarted() {
          return relay.isStarted && (winner === null || winner === getRacer());
        },
        sendResponse(head, body) {
          if (claim(getRacer())) relay.sendResponse(head, body);
        },
        startStream(head) {
          if (claim(getRacer())) relay.startStream(head);
        },
        // A stream that resumes has been started by an earlier attempt.
        sendEvents: (events) =>
          claim(getRacer()) ? relay.sendEvents(events) : true,
        endStream() {
          if (claim(getRacer())) relay.endStream();
        },
        abort() {
          if (winner === null || winner === getRacer()) relay.abort();
        },
      };
    }

    function handleResult(racer: Racer, result: AttemptResult): void {
      racer.result = result;
      const other = racers.find((each) => each !== racer);
      const isOtherOpen = other !== undefined && other.result === null;
      if (winner === null && isOtherOpen && result.tag !== 'callerGone') {
        // The other one decides. A search that it put off goes on, unless the
        // call may have run at two endpoints by now.
        if (other === racers[0] && !mayHaveRun(result)) delayedSearch?.();
        delayedSearch = null;
        return;
      }
      const decides =
        winner ?? racers.find((each) => each.result?.tag === 'failed') ?? racer;
      if (decides.result !== null) finish(decides);
    }

    function run(options: AttemptOptions): Racer {
      const own: CallContext = {...context, cleanups: new Set()};
      const cleanUp = (): void => {
        for (const cleanup of [...own.cleanups]) cleanup();
        own.cleanups.clear();
      };
      context.cleanups.add(cleanUp);
      const racer: Racer = {
        options,
        startedAt: now(),
        result: null,
        abandon() {
          context.cleanups.delete(cleanUp);
          cleanUp();
        },
      };
      racers.push(racer);
      const relay = createRelay(() => racer);
      void attemptCall({...options, context: own, relay}).then((result) => {
        if (result.tag === 'delivered') {
          const elapsed = now() - racer.startedAt;
          hedger.recordTime(context.service.name, options.endpoint.id, elapsed);
        }
        handleResult(racer, result);
      });
      return racer;
    }

    function startSecond(endpoint: GatewayEndpoint): void {
      run({
        ...first,
        ...input.getSecond(endpoint),
        splitter: createEventSplitter(),
        connection: null,
        failover: {
          prepare: () => undefined,
          cancel: () => undefined,
          take: () => null,
        },
      });
    }

    const watch = hedger.watch({
      context,
      endpoint: first.endpoint,
      getFacts: input.getFacts,
      findOther: input.findOther,
      isOpen: () => !isDone && !first.relay.isStarted,
      onHedge: startSecond,
    });
    run({
      ...first,
      failover: {
        ...first.failover,
        prepare(silent, onReady) {
          const search = (): void => first.failover.prepare(silent, onReady);
          if (isRacing()) delayedSearch = search;
          else search();
        },
      },
    });
  });
}
