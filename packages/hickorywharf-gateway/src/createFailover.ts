import {decideFailover} from 'hickorywharf-decisions/gateway/decideFailover';
import type {GatewayEndpoint} from 'hickorywharf-types/gateway/gatewayEndpoint';
import type {createCallInputs} from './createCallInputs.ts';
import type {GatewayLog} from './gatewayLog.ts';
import type {GatewayMetrics} from './gatewayMetrics.ts';
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
   * @param excluded ids of the silent endpoint, and of those without connection
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

interface ReservedEndpoint {
  readonly endpoint: GatewayEndpoint;
  readonly connection: ReservedConnection;
}

/** The search for another endpoint during one silence. */
interface Search {
  readonly silent: GatewayEndpoint;
  readonly stages: AbortController;
  readonly excluded: Set<string>;
  onReady(): void;
  isRunningStages: boolean;
  /** The connection that is being opened. */
  connection: ReservedConnection | null;
  /** What the call lacked when this was last asked. */
  missing: string | null;
}

interface Failover {
  /**
   * Looks for another endpoint, until `cancel` is called. Calls back once one
   * has taken a connection, and all else that the call needs is there. It may
   * still turn the call away.
   */
  prepare(silent: GatewayEndpoint, onReady: () => void): void;
  /** The endpoint has gone on, or the attempt has ended. */
  cancel(): void;
  /**
   * The endpoint that was reserved, with an open connection, once; null if there
   * is none.
   */
  take(): ReservedEndpoint | null;
}

/** How often a call that lacks something asks for it again. */
const CHECK_INTERVAL_MILLISECONDS = 100;

/**
 * Prepares that a call leaves an endpoint that is silent. The attempt there goes
 * on until another endpoint has taken a connection, and room in the budget of
 * retries and results of stages are there; it wins if its endpoint goes on
 * before that.
 *
 * @example
 *     const failover = createFailover(options);
 *     failover.prepare(endpoint, () => exchange.abort());
 *     failover.cancel(); // an event has arrived
 */
export function createFailover(options: FailoverOptions): Failover {
  const {inputs, metrics} = options;
  let search: Search | null = null;
  let timer: NodeJS.Timeout | undefined;
  let holdsRetry = false;
  let prepared: Parameters<CallInputs['adopt']>[0] | null = null;
  let reserved: ReservedEndpoint | null = null;

  function end(result: string): void {
    metrics.count('silences', result);
    clearTimeout(timer);
    search = null;
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

  function recordMissing(silent: GatewayEndpoint, missing: string): void {
    if (search === null || search.missing === missing) return;
    search.missing = missing;
    metrics.count('silences', missing);
    options.log.infoRateLimited('endpoint is silent', {
      requestId: options.requestId,
      step: 'call',
      peer: silent.id,
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
      needsStages: inputs.areMissing() && prepared === null,
      mayRunStages: inputs.mayRun(),
    });
  }

  function check(): void {
    if (search === null) return;
    clearTimeout(timer);
    timer = setTimeout(check, CHECK_INTERVAL_MILLISECONDS);
    if (search.isRunningStages || search.connection !== null) return;
    const endpoint = options.findEndpoint(
      search.excluded,
      prepared?.inputs ?? inputs.list(),
    );
    const decision = decide(endpoint !== undefined);
    if (decision.tag === 'wait') {
      return recordMissing(search.silent, decision.missing);
    }
    if (endpoint === undefined) return;
    if (decision.tag === 'runStages') {
      prepareStages(endpoint).catch(recordError);
      return;
    }
    takeRetry();
    connect(search, endpoint);
  }

  function connect(started: Search, endpoint: GatewayEndpoint): void {
    started.connection = options.connect(endpoint, {
      onOpen() {
        if (search !== started) return;
        const decision = decide(options.isUsable(endpoint));
        if (decision.tag === 'ready') return leave(started, endpoint);
        started.connection?.release();
        started.connection = null;
      },
      onFailure(message) {
        // It was closed after the call left, and the next send finds out.
        if (search !== started) return;
        options.log.infoRateLimited('no connection to leave for', {
          requestId: options.requestId,
          step: 'call',
          peer: endpoint.id,
          reason: message,
        });
        started.excluded.add(endpoint.id);
        started.connection = null;
        check();
      },
    });
  }

  function leave(started: Search, endpoint: GatewayEndpoint): void {
    holdsRetry = false;
    options.reserve(endpoint);
    if (prepared !== null) inputs.adopt(prepared);
    prepared = null;
    reserved = {endpoint, connection: started.connection!};
    end('left');
    started.onReady();
  }

  return {
    prepare(silent, onReady) {
      search = {
        silent,
        stages: new AbortController(),
        excluded: new Set([silent.id]),
        onReady,
        isRunningStages: false,
        connection: null,
        missing: null,
      };
      metrics.count('silences', 'begun');
      check();
    },
    cancel() {
      if (search === null) return;
      search.stages.abort('the endpoint has gone on');
      search.connection?.release();
      if (prepared !== null) inputs.discard(prepared);
      prepared = null;
      if (holdsRetry) options.returnRetry();
      holdsRetry = false;
      end('ended');
    },
    take() {
      const taken = reserved;
      reserved = null;
      return taken;
    },
  };
}
