import {decideFailover} from 'hickorywharf-decisions/gateway/decideFailover';
import type {GatewayEndpoint} from 'hickorywharf-types/gateway/gatewayEndpoint';
import type {createCallInputs} from './createCallInputs.ts';
import type {GatewayLog} from './gatewayLog.ts';
import type {GatewayMetrics} from './gatewayMetrics.ts';
import type {ReplacementEndpoint} from './replacementEndpoint.ts';
import type {ReservedConnection} from './reservedConnection.ts';

type CallInputs = ReturnType<typeof createCallInputs>;
type Facts = Parameters<typeof decideFailover>[0];

interface FailoverOptions {
  readonly inputs: CallInputs;
  readonly requestId: string;
  readonly log: Pick<GatewayLog, 'infoRateLimited'>;
  readonly metrics: Pick<GatewayMetrics, 'count'>;
  /** What is known of the call besides its endpoints and its stages. */
  getFacts(): Omit<Facts, 'hasEndpoint' | 'needsStages' | 'mayRunStages'>;
  /**
   * An endpoint that may get the call now, and reads these results; undefined if
   * there is none.
   *
   * @param excluded ids of the silent endpoints, and of those without connection
   */
  findEndpoint(
    excluded: ReadonlySet<string>,
    inputs: readonly string[],
  ): GatewayEndpoint | undefined;
  /** Whether an endpoint that was found may still get the call. */
  isUsable(endpoint: GatewayEndpoint): boolean;
  /** Opens a connection to an endpoint. */
  connect(
    endpoint: GatewayEndpoint,
    handlers: {onOpen(): void; onFailure(message: string): void},
  ): ReservedConnection;
  /** Runs the stages of the call for another endpoint. */
  runStages(
    endpoint: GatewayEndpoint,
    signal: AbortSignal,
  ): ReturnType<CallInputs['run']>;
  /** Takes room for a retry in the budget. */
  takeRetry(): void;
  /** Gives that room back. */
  returnRetry(): void;
  /** Takes room for a call at an endpoint. */
  reserve(endpoint: GatewayEndpoint): void;
}

/** The search for another endpoint during one silence. */
interface Search {
  /** Endpoints at which silent attempts of the call go on. */
  silent: readonly GatewayEndpoint[];
  readonly stages: AbortController;
  /** Ids of endpoints that took no connection. */
  readonly unreachable: Set<string>;
  onReady(replacement: ReplacementEndpoint): void;
  isRunningStages: boolean;
  /** Whether an endpoint has the call and has not answered. */
  isAsking: boolean;
  /** The connection that is being opened. */
  connection: ReservedConnection | null;
  /** What the call lacked when this was last asked. */
  missing: string | null;
}

interface Failover {
  /**
   * Looks for another endpoint while all attempts of the call are silent, until
   * `accept` or `cancel`. Calls back with each one that has taken a connection,
   * once all else that the call needs is there. The call is to be sent there
   * beside the silent attempts, as that endpoint may still turn it away.
   */
  search(
    silent: readonly GatewayEndpoint[],
    onReady: (replacement: ReplacementEndpoint) => void,
  ): void;
  /**
   * An endpoint that was asked lacked a result of the call's stages: they have to
   * run again.
   */
  recordInputGone(): void;
  /** An endpoint that was asked has accepted the call. */
  accept(): void;
  /** A silent endpoint has gone on, or the call has ended. */
  cancel(): void;
}

/** How often a call that lacks something asks for it again. */
const CHECK_INTERVAL_MILLISECONDS = 100;

/**
 * Finds another endpoint for a call whose attempts are silent. These go on until
 * another endpoint has accepted the call; they win if their endpoints go on
 * before that.
 *
 * @example
 *     const failover = createFailover(options);
 *     failover.search([endpoint], (replacement) => startAttempt(replacement));
 *     failover.cancel(); // an event has arrived
 */
export function createFailover(options: FailoverOptions): Failover {
  const {inputs, metrics} = options;
  let search: Search | null = null;
  let timer: NodeJS.Timeout | undefined;
  let holdsRetry = false;
  let prepared: Parameters<CallInputs['adopt']>[0] | null = null;
  /** Whether an endpoint lacked one of the results that the call reads. */
  let areInputsGone = false;

  function end(result: string): void {
    metrics.count('silences', result);
    clearTimeout(timer);
    search = null;
    prepared = null;
    areInputsGone = false;
  }

  function takeRetry(): void {
    if (!holdsRetry) options.takeRetry();
    holdsRetry = true;
  }

  async function prepareStages(endpoint: GatewayEndpoint): Promise<void> {
    const started = search!;
    // Bounds the stages that are run again, which are in vain if it goes on.
    takeRetry();
    started.isRunningStages = true;
    const result = await options.runStages(endpoint, started.stages.signal);
    started.isRunningStages = false;
    if (result.tag === 'failed') return;
    prepared = result;
    check();
  }

  function recordError(error: Error): void {
    options.log.infoRateLimited('stages not prepared', {
      requestId: options.requestId,
      step: 'stage',
      error: error.stack,
    });
  }

  function recordMissing({silent}: Search, missing: string): void {
    if (search === null || search.missing === missing) return;
    search.missing = missing;
    metrics.count('silences', missing);
    options.log.infoRateLimited('endpoint is silent', {
      requestId: options.requestId,
      step: 'call',
      peer: silent.at(-1)!.id,
      missing,
    });
  }

  /** What the call may do now, with an endpoint if one was found. */
  function decide(hasEndpoint: boolean) {
    const facts = options.getFacts();
    return decideFailover({
      ...facts,
      hasBudget: holdsRetry || facts.hasBudget,
      hasEndpoint,
      needsStages: (inputs.areMissing() || areInputsGone) && prepared === null,
      mayRunStages: inputs.mayRun(),
    });
  }

  function check(): void {
    if (search === null) return;
    clearTimeout(timer);
    if (search.isAsking) return;
    timer = setTimeout(check, CHECK_INTERVAL_MILLISECONDS);
    if (search.isRunningStages || search.connection !== null) return;
    const endpoint = options.findEndpoint(
      new Set([...search.silent.map(({id}) => id), ...search.unreachable]),
      prepared?.inputs ?? inputs.list(),
    );
    const decision = decide(endpoint !== undefined);
    if (decision.tag === 'wait') return recordMissing(search, decision.missing);
    if (endpoint === undefined) return;
    if (decision.tag === 'runStages') {
      prepareStages(endpoint).catch(recordError);
      return;
    }
    takeRetry();
    connect(search, endpoint);
  }

  function connect(started: Search, endpoint: GatewayEndpoint): void {
    const connection = options.connect(endpoint, {
      onOpen() {
        if (search !== started) return;
        started.connection = null;
        const decision = decide(options.isUsable(endpoint));
        if (decision.tag === 'ready') ask(started, endpoint, connection);
        else connection.release();
      },
      onFailure(message) {
        // It was closed after the call was sent, and the attempt finds out.
        if (search !== started || started.isAsking) return;
        options.log.infoRateLimited('no connection to a replacement', {
          requestId: options.requestId,
          step: 'call',
          peer: endpoint.id,
          reason: message,
        });
        started.unreachable.add(endpoint.id);
        started.connection = null;
        check();
      },
    });
    started.connection = connection;
  }

  function ask(
    started: Search,
    endpoint: GatewayEndpoint,
    connection: ReservedConnection,
  ): void {
    holdsRetry = false;
    options.reserve(endpoint);
    started.isAsking = true;
    clearTimeout(timer);
    metrics.count('silences', 'asked');
    started.onReady({
      endpoint,
      connection,
      inputs: prepared?.inputs ?? inputs.list(),
    });
  }

  return {
    search(silent, onReady) {
      if (search === null) {
        search = {
          silent,
          stages: new AbortController(),
          unreachable: new Set(),
          onReady,
          isRunningStages: false,
          isAsking: false,
          connection: null,
          missing: null,
        };
        metrics.count('silences', 'begun');
      }
      search.silent = silent;
      search.isAsking = false;
      check();
    },
    recordInputGone() {
      if (search === null) return;
      if (prepared !== null) inputs.discard(prepared);
      prepared = null;
      areInputsGone = true;
    },
    accept() {
      if (search === null) return;
      if (prepared !== null) inputs.adopt(prepared);
      end('left');
    },
    cancel() {
      if (search === null) return;
      search.stages.abort('the endpoint has gone on');
      search.connection?.release();
      if (prepared !== null) inputs.discard(prepared);
      if (holdsRetry) options.returnRetry();
      holdsRetry = false;
      end('ended');
    },
  };
}
