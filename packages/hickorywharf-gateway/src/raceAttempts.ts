import type {GatewayEndpoint} from 'hickorywharf-types/gateway/gatewayEndpoint';
import {attemptCall} from './attemptCall.ts';
import type {AttemptResult} from './attemptResult.ts';
import type {CallContext} from './callContext.ts';
import type {createFailover} from './createFailover.ts';
import {createEventSplitter} from './createEventSplitter.ts';
import type {Hedger} from './hedger.ts';
import type {ReplacementEndpoint} from './replacementEndpoint.ts';

type AttemptOptions = Parameters<typeof attemptCall>[0];
type AttemptHandlers = 'onSilence' | 'onAccepted';

interface RaceOptions {
  /** The options of the first attempt. */
  readonly first: Omit<AttemptOptions, AttemptHandlers>;
  /** Finds another endpoint while all attempts are silent. */
  readonly failover: ReturnType<typeof createFailover>;
  /** Decides on a second attempt, within the limits of all calls. */
  readonly hedger: Hedger;
  /** The facts of the call when a second attempt is decided on. */
  getFacts: Parameters<Hedger['watch']>[0]['getFacts'];
  /** Another endpoint that may get the call now; undefined for none. */
  findOther(): GatewayEndpoint | undefined;
  /** The options that an attempt at this endpoint has of its own. */
  getOwn(
    endpoint: GatewayEndpoint,
  ): Pick<
    AttemptOptions,
    'endpoint' | 'watch' | 'onFirstEvent' | 'responseTimeoutMilliseconds'
  >;
  /** Called before an attempt beside others is sent. */
  onSend(endpoint: GatewayEndpoint): void;
  /** Called when an attempt has ended that was not given up. */
  onEnd(endpoint: GatewayEndpoint, result: AttemptResult): void;
  /**
   * Called when an attempt has failed and another one goes on. Resolves when the
   * call may be sent to a further endpoint.
   */
  waitAfterFailure(
    endpoint: GatewayEndpoint,
    result: AttemptResult,
  ): Promise<void>;
  /** Called when a silent attempt is given up for one that was accepted. */
  onReplace(endpoint: GatewayEndpoint, replacement: GatewayEndpoint): void;
}

interface RaceResult {
  readonly result: AttemptResult;
  /** The endpoint that the result is from. */
  readonly endpoint: GatewayEndpoint;
  /** Has the events that were passed on; a resumed stream needs the last id. */
  readonly splitter: AttemptOptions['splitter'];
}

type AttemptRole = 'first' | 'hedge' | 'replacement';

interface Racer {
  readonly options: Omit<AttemptOptions, AttemptHandlers>;
  readonly startedAt: number;
  /** An attempt that was accepted is the first one of what follows. */
  role: AttemptRole;
  isSilent: boolean;
  /** Ends the attempt and releases what it holds. */
  abandon(): void;
}

/**
 * Sends a call to an endpoint and, if that is slower than usual or silent, to
 * others beside it. An attempt goes on until another one has been accepted: its
 * stream or its whole answer has begun. The others are then given up at once, so
 * that their endpoints stop working on the call. If some attempts fail, those
 * that are left decide.
 *
 * @returns rejects only if an attempt can't be formatted
 * @example
 *     const {result, endpoint} = await raceAttempts(options);
 */
export function raceAttempts(input: RaceOptions): Promise<RaceResult> {
  const {first, hedger, failover} = input;
  const {context, now} = first;

  return new Promise((resolve, reject) => {
    /** The attempts without a result, in the order of their start. */
    let open: Racer[] = [];
    /** An answer with an error status, for want of a better one. */
    let failed: {racer: Racer; result: AttemptResult} | null = null;
    let isDone = false;

    function finish({options}: Racer, result: AttemptResult): void {
      isDone = true;
      watch.end();
      failover.cancel();
      const {endpoint, splitter} = options;
      resolve({result, endpoint, splitter});
    }

    /** Gives up all attempts but the one that was accepted or has gone on. */
    function accept(racer: Racer): void {
      racer.isSilent = false;
      const {role} = racer;
      if (open.length === 1 && role === 'first') return failover.cancel();
      failed = null;
      const others = open.filter((each) => each !== racer);
      open = [racer];
      racer.role = 'first';
      for (const other of others) {
        other.abandon();
        const {endpoint} = other.options;
        if (role === 'hedge' || other.role === 'hedge') {
          const elapsed = now() - other.startedAt;
          hedger.recordSlow(context.service.name, endpoint, elapsed);
        } else if (role === 'replacement') {
          input.onReplace(endpoint, racer.options.endpoint);
        }
      }
      if (role === 'replacement') failover.accept();
      else failover.cancel();
    }

    /** Looks for another endpoint unless an attempt may still be accepted. */
    function searchIfSilent(): void {
      if (isDone || !open.every(({isSilent}) => isSilent)) return;
      const silent = open.map(({options}) => options.endpoint);
      failover.search(silent, startReplacement);
    }

    function handleResult(racer: Racer, result: AttemptResult): void {
      if (isDone || !open.includes(racer)) return;
      open = open.filter((each) => each !== racer);
      const {endpoint} = racer.options;
      input.onEnd(endpoint, result);
      const isFinal = result.tag === 'delivered' || result.tag === 'callerGone';
      if (isFinal) return finish(racer, result);
      if (result.tag === 'failed') failed = {racer, result};
      if (open.length === 0) {
        const decisive = failed ?? {racer, result};
        return finish(decisive.racer, decisive.result);
      }
      void input.waitAfterFailure(endpoint, result).then(() => {
        if (isDone) return;
        if (result.tag === 'inputGone') failover.recordInputGone();
        searchIfSilent();
      });
    }

    function run(
      options: Omit<AttemptOptions, AttemptHandlers>,
      role: AttemptRole,
    ): void {
      const own: CallContext = {...context, cleanups: new Set()};
      const cleanUp = (): void => {
        for (const cleanup of [...own.cleanups]) cleanup();
        own.cleanups.clear();
      };
      context.cleanups.add(cleanUp);
      const racer: Racer = {
        options,
        startedAt: now(),
        role,
        isSilent: false,
        abandon() {
          context.cleanups.delete(cleanUp);
          cleanUp();
        },
      };
      open.push(racer);
      void attemptCall({
        ...options,
        context: own,
        onAccepted: () => accept(racer),
        onSilence() {
          racer.isSilent = true;
          searchIfSilent();
        },
      }).then((result) => {
        if (result.tag === 'delivered') {
          const elapsed = now() - racer.startedAt;
          hedger.recordTime(context.service.name, options.endpoint.id, elapsed);
        }
        handleResult(racer, result);
      }, reject);
    }

    function startHedge(endpoint: GatewayEndpoint): void {
      input.onSend(endpoint);
      const own = input.getOwn(endpoint);
      const splitter = createEventSplitter();
      run({...first, ...own, splitter, connection: null}, 'hedge');
    }

    function startReplacement(replacement: ReplacementEndpoint): void {
      const {endpoint, connection, inputs} = replacement;
      input.onSend(endpoint);
      const own = input.getOwn(endpoint);
      // All attempts that are open have passed on the same events.
      const lastId = open[0]!.options.splitter.getLastId();
      const splitter = createEventSplitter(lastId);
      run({...first, ...own, splitter, connection, inputs}, 'replacement');
    }

    const watch = hedger.watch({
      context,
      endpoint: first.endpoint,
      getFacts: input.getFacts,
      findOther: input.findOther,
      isOpen: () => !isDone && open.length === 1 && !first.relay.isStarted,
      onHedge: startHedge,
    });
    run(first, 'first');
  });
}
