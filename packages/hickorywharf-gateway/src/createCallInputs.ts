import type {GatewayMetrics} from './gatewayMetrics.ts';
import {runStages} from './runStages.ts';
import type {StageRouter} from './stageRouter.ts';

type StagesResult = Awaited<ReturnType<typeof runStages>>;
type CallResults = Extract<StagesResult, {tag: 'made'}>;

interface InputsOptions extends Pick<
  Parameters<typeof runStages>[0],
  'context' | 'getNow'
> {
  readonly router: StageRouter;
  readonly metrics: Pick<GatewayMetrics, 'time'>;
}

interface CallInputs {
  /** Handles of the results that the call reads; empty if it has none. */
  list(): readonly string[];
  /** Whether the call reads results of stages that it does not have. */
  areMissing(): boolean;
  /** How many times the stages were run. */
  countRuns(): number;
  /**
   * Whether the stages may run once more.
   *
   * @param moreRuns runs that the call may make beyond the usual ones
   */
  mayRun(moreRuns?: number): boolean;
  /**
   * Runs the stages. Results are the caller's, to `adopt` or to `discard`, and
   * are discarded here if the call ends or the signal is aborted meanwhile.
   */
  run(
    options: Pick<
      Parameters<typeof runStages>[0],
      'services' | 'consumerDomain'
    > & {readonly signal: AbortSignal},
  ): Promise<StagesResult>;
  /** Takes results as those of the call, in place of earlier ones. */
  adopt(results: CallResults): void;
  discard(results: CallResults): void;
  /** Frees the results of the call, which are missing after that. */
  free(): void;
}

/**
 * The most times that a call runs its stages. The stages are run again for a
 * further attempt if an endpoint dropped their results, or they were freed.
 */
const MAXIMUM_STAGE_RUNS = 2;

/**
 * Keeps the results of stages that one call reads, and runs its stages.
 *
 * @example
 *     const inputs = createCallInputs(options);
 *     const result = await inputs.run({services, consumerDomain, signal});
 *     if (result.tag === 'made') inputs.adopt(result);
 *     inputs.free();
 */
export function createCallInputs(options: InputsOptions): CallInputs {
  const {context, router, metrics, getNow} = options;
  const {call, route} = context;
  const hasStages =
    route.stages.length > 0 && call.pieces.some((count) => count > 0);
  let results: CallResults | null = null;
  let runs = 0;

  function discard({handles}: CallResults): void {
    if (handles.length > 0) router.free(handles);
  }

  function free(): void {
    if (results !== null) discard(results);
    results = null;
  }

  return {
    list: () => results?.inputs ?? [],
    areMissing: () => hasStages && results === null,
    countRuns: () => runs,
    mayRun: (moreRuns = 0) => runs < MAXIMUM_STAGE_RUNS + moreRuns,
    async run({services, consumerDomain, signal}) {
      runs += 1;
      const startedAt = getNow();
      const result = await runStages({
        context,
        services,
        router,
        consumerDomain,
        signal,
        getNow,
      });
      if (result.tag === 'failed') return result;
      if (context.isEnded || signal.aborted) {
        discard(result);
        return {tag: 'failed', reason: 'callerGone'};
      }
      metrics.time('stages', getNow() - startedAt);
      return result;
    },
    adopt(made) {
      free();
      results = made;
    },
    discard,
    free,
  };
}
