import {decideFailover} from 'hickorywharf-decisions/gateway/decideFailover';
import type {GatewayEndpoint} from 'hickorywharf-types/gateway/gatewayEndpoint';
import type {createCallInputs} from './createCallInputs.ts';
import type {GatewayLog} from './gatewayLog.ts';
import type {GatewayMetrics} from './gatewayMetrics.ts';

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
   * Another endpoint that may get the call now, and reads these results;
   * undefined if there is none.
   */
  findEndpoint(
    silent: GatewayEndpoint,
    inputs: readonly string[],
  ): GatewayEndpoint | undefined;
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

interface Failover {
  /**
   * Looks for another endpoint, until `cancel` is called. Calls back once all
   * that the call needs there is reserved.
   */
  prepare(silent: GatewayEndpoint, onReady: () => void): void;
  /** The endpoint has gone on, or the attempt has ended. */
  cancel(): void;
  /** The endpoint that was reserved, once; null if there is none. */
  take(): GatewayEndpoint | null;
}

/** How often a call that lacks something asks for it again. */
const CHECK_INTERVAL_MILLISECONDS = 100;

/**
 * Prepares that a call leaves an endpoint that is silent. The attempt there goes
 * on until another endpoint, room in the budget of retries and results of stages
 * are reserved, and wins if its endpoint goes on before that.
 *
 * @example
 *     const failover = createFailover(options);
 *     failover.prepare(endpoint, () => exchange.abort());
 *     failover.cancel(); // an event has arrived
 */
export function createFailover(options: FailoverOptions): Failover {
  const {inputs, metrics} = options;
  let search: {
    readonly silent: GatewayEndpoint;
    readonly stages: AbortController;
    onReady(): void;
    isRunningStages: boolean;
    /** What the call lacked when this was last asked. */
    missing: string | null;
  } | null = null;
  let timer: NodeJS.Timeout | undefined;
  let holdsRetry = false;
  let prepared: Parameters<CallInputs['adopt']>[0] | null = null;
  let reserved: GatewayEndpoint | null = null;

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

  function check(): void {
    if (search === null) return;
    clearTimeout(timer);
    timer = setTimeout(check, CHECK_INTERVAL_MILLISECONDS);
    if (search.isRunningStages) return;
    const {silent, onReady} = search;
    const endpoint = options.findEndpoint(
      silent,
      prepared?.inputs ?? inputs.list(),
    );
    const facts = options.getFacts();
    const decision = decideFailover({
      ...facts,
      hasBudget: holdsRetry || facts.hasBudget,
      hasEndpoint: endpoint !== undefined,
      needsStages: inputs.areMissing() && prepared === null,
      mayRunStages: inputs.mayRun(),
    });
    if (decision.tag === 'wait') return recordMissing(silent, decision.missing);
    if (endpoint === undefined) return;
    if (decision.tag === 'runStages') return void prepareStages(endpoint);
    takeRetry();
    holdsRetry = false;
    options.reserve(endpoint);
    if (prepared !== null) inputs.adopt(prepared);
    prepared = null;
    reserved = endpoint;
    end('left');
    onReady();
  }

  return {
    prepare(silent, onReady) {
      search = {
        silent,
        stages: new AbortController(),
        onReady,
        isRunningStages: false,
        missing: null,
      };
      metrics.count('silences', 'begun');
      check();
    },
    cancel() {
      if (search === null) return;
      search.stages.abort('the endpoint has gone on');
      if (prepared !== null) inputs.discard(prepared);
      prepared = null;
      if (holdsRetry) options.returnRetry();
      holdsRetry = false;
      end('ended');
    },
    take() {
      const endpoint = reserved;
      reserved = null;
      return endpoint;
    },
  };
}
