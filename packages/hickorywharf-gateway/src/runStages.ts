import {getStartDelay} from 'hickorywharf-decisions/gateway/getStartDelay';
import {estimateEngineTime} from 'hickorywharf-decisions/gateway/estimateEngineTime';
import {getStageInputs} from 'hickorywharf-decisions/gateway/getStageInputs';
import {getRemainingTimes} from 'hickorywharf-decisions/gateway/getRemainingTimes';
import type {GatewayConfiguration} from 'hickorywharf-types/gateway/gatewayConfiguration';
import type {GatewayStage} from 'hickorywharf-types/gateway/gatewayStage';
import type {CallContext} from './callContext.ts';
import {createStageForecasts} from './createStageForecasts.ts';
import type {StageRouter} from './stageRouter.ts';

/** Outcome of the stages of one call. */
type StagesResult =
  | {
      readonly tag: 'made';
      /** Handles of the results that the call itself reads. */
      readonly inputs: string[];
      /** Handles of all results, to be freed after use. */
      readonly handles: string[];
    }
  | {readonly tag: 'failed'; readonly reason: string};

interface StagesOptions {
  readonly context: CallContext;
  readonly services: GatewayConfiguration['services'];
  readonly router: StageRouter;
  /** Failure domain where the call will probably run; null if unknown. */
  readonly consumerDomain: string | null;
  /** Ends the stages before their end; they fail with its reason. */
  readonly signal?: AbortSignal;
  /** Monotonic milliseconds. */
  getNow(): number;
}

/**
 * From this size on, a stage without inputs prefers the failure domain that
 * reads its results. The start of every stage with such results is delayed, so
 * that they take up memory for less time.
 */
const LARGE_RESULT_BYTES = 500_000;
/**
 * The most times that all stages are run. The stages are run again if an
 * endpoint has dropped a result before the stage that reads the result has run.
 */
const MAXIMUM_RUNS = 2;

/**
 * Runs all stages of a call that have pieces, each as soon as its inputs are
 * available. Stages with large results start later, just in time for the other
 * stages.
 *
 * @returns never rejects; `failed` if a piece fails or the call ends first
 * @example
 *     const result = await runStages(options);
 *     // {tag: 'made', inputs: ['c'], handles: ['c']}
 */
export function runStages(options: StagesOptions): Promise<StagesResult> {
  const {context, services, router, consumerDomain, getNow} = options;
  const {call, route} = context;
  const {stages} = route;
  const counts = stages.map((_stage, position) => call.pieces[position] ?? 0);
  /** Handles of the results of each stage; empty for a piece without one. */
  const handles: string[][] = counts.map(() => []);
  /** Number of pieces without a result, by stage. */
  const missing = [...counts];
  /** When each stage was ordered, in monotonic milliseconds; null before. */
  const orderedAt = counts.map((): number | null => null);
  const remainingTimes = getRemainingTimes(
    createStageForecasts(context, services, () => null),
    estimateEngineTime(call.promptTokens),
  );
  const remainingWithWaits = getRemainingTimes(
    createStageForecasts(context, services, router.getWaitEstimate),
    estimateEngineTime(call.promptTokens),
  );
  const cancels = new Set<() => void>();
  let restarts = 0;
  let delayTimer: NodeJS.Timeout | null = null;

  return new Promise((resolve) => {
    let isSettled = false;

    function settle(result: StagesResult): void {
      if (isSettled) return;
      isSettled = true;
      clearDelayTimer();
      context.cleanups.delete(handleCallEnd);
      resolve(result);
    }
    function clearDelayTimer(): void {
      if (delayTimer !== null) clearTimeout(delayTimer);
      delayTimer = null;
    }
    function fail(reason: string): void {
      for (const cancel of cancels) cancel();
      router.free(handles.flat().filter((handle) => handle !== ''));
      settle({tag: 'failed', reason});
    }
    function handleCallEnd(): void {
      fail('callerGone');
    }

    function restart(): void {
      restarts += 1;
      if (restarts >= MAXIMUM_RUNS) return fail('inputGone');
      for (const cancel of cancels) cancel();
      cancels.clear();
      router.free(handles.flat().filter((handle) => handle !== ''));
      counts.forEach((count, position) => {
        handles[position] = [];
        missing[position] = count;
        orderedAt[position] = null;
      });
      startReadyStages();
    }

    /**
     * The failure domain that holds most inputs. For a stage without inputs,
     * the one that reads its results if they are large. Null if it is not known
     * or makes no difference.
     */
    function getPreferredDomain(
      stage: GatewayStage,
      inputs: readonly string[],
    ): string | null {
      if (inputs.length === 0) {
        return stage.resultBytes < LARGE_RESULT_BYTES ? null : consumerDomain;
      }
      const domainCounts = new Map<string, number>();
      for (const input of inputs) {
        const domain = router.getFailureDomain(input);
        if (domain === undefined) continue;
        domainCounts.set(domain, (domainCounts.get(domain) ?? 0) + 1);
      }
      const [most] = [...domainCounts].sort(
        (left, right) => right[1] - left[1],
      );
      return most?.[0] ?? null;
    }

    function orderStage(position: number): void {
      const stage = stages[position]!;
      const service = services.get(stage.service);
      if (service === undefined || service.stage === null) {
        return fail('noEndpoint');
      }
      orderedAt[position] = getNow();
      const inputs = getStageInputs(stages, handles, position);
      const run = restarts;
      const results = new Array<string>(counts[position]!).fill('');
      handles[position] = results;
      const cancel = router.order(
        {
          requestId: call.id,
          stage: position,
          service: stage.service,
          kind: `${route.name}/${position}`,
          pieces: results.map((_result, piece) => piece),
          key: stage.after.length === 0 ? call.pieceKey : null,
          inputs: stage.after.length === 0 ? null : inputs,
          priority: context.priority,
          targetMilliseconds:
            context.targetAt - remainingWithWaits[position]! - getNow(),
          deadlineMilliseconds:
            context.firstEventDeadlineAt - remainingTimes[position]! - getNow(),
          resultBytes: stage.resultBytes,
          failureDomain: getPreferredDomain(stage, inputs),
          ...(context.account === null ? {} : {account: context.account}),
        },
        (result) => {
          if (isSettled || run !== restarts) {
            if (result.tag === 'made') router.free([result.handle]);
            return;
          }
          if (result.tag === 'inputGone') return restart();
          if (result.tag !== 'made') return fail(result.tag);
          results[result.piece] = result.handle;
          missing[position]! -= 1;
          if (missing[position]! > 0) return;
          freeConsumed();
          startReadyStages();
        },
      );
      cancels.add(cancel);
    }

    /**
     * Frees the results whose reading stages have all finished. Results that no
     * stage reads are inputs of the call itself and are not freed here.
     */
    function freeConsumed(): void {
      stages.forEach((_stage, position) => {
        const consumers = stages.flatMap(({after}, later) =>
          after.includes(position) ? [later] : [],
        );
        if (consumers.length === 0 || handles[position]!.length === 0) return;
        if (consumers.some((later) => missing[later]! > 0)) return;
        router.free(handles[position]!);
        handles[position] = [];
      });
    }

    /** Milliseconds until a stage should start; 0 if its results are small. */
    function getDelay(position: number): number {
      if (stages[position]!.resultBytes < LARGE_RESULT_BYTES) return 0;
      const now = getNow();
      const progress = createStageForecasts(
        context,
        services,
        router.getWaitEstimate,
      ).map((stage, index) => {
        const at = orderedAt[index] ?? null;
        const age = at === null ? null : now - at;
        return {
          after: stage.after,
          milliseconds: stage.timelyWaitMilliseconds + stage.workMilliseconds,
          orderedMilliseconds: missing[index] === 0 ? Infinity : age,
        };
      });
      return getStartDelay(progress, position);
    }

    /** Starts each stage whose inputs are complete, or schedules its start. */
    function startReadyStages(): void {
      if (missing.every((count) => count === 0)) {
        const inputs = getStageInputs(stages, handles, null);
        return settle({tag: 'made', inputs, handles: handles.flat()});
      }
      clearDelayTimer();
      let nextDelay = Infinity;
      stages.forEach(({after}, position) => {
        if (isSettled) return;
        if (orderedAt[position] !== null || counts[position] === 0) return;
        if (after.some((earlier) => missing[earlier]! > 0)) return;
        const delay = getDelay(position);
        if (delay === 0) orderStage(position);
        else nextDelay = Math.min(nextDelay, delay);
      });
      if (isSettled || nextDelay === Infinity) return;
      delayTimer = setTimeout(startReadyStages, nextDelay);
    }

    context.cleanups.add(handleCallEnd);
    options.signal?.addEventListener('abort', () => {
      if (!isSettled) fail(String(options.signal?.reason));
    });
    if (context.isEnded) return handleCallEnd();
    startReadyStages();
  });
}
