import {getStartDelay} from 'hickorywharf-decisions/gateway/getStartDelay';
import {estimateEngineTime} from 'hickorywharf-decisions/gateway/estimateEngineTime';
import {getStageInputs} from 'hickorywharf-decisions/gateway/getStageInputs';
import {getRemainingTimes} from 'hickorywharf-decisions/gateway/getRemainingTimes';
import type {GatewayConfiguration} from 'hickorywharf-types/gateway/gatewayConfiguration';
import type {GatewayStage} from 'hickorywharf-types/gateway/gatewayStage';
import type {CallContext} from './callContext.ts';
import {createStageForecasts} from './createStageForecasts.ts';
import type {StageRouter} from './stageRouter.ts';

/** Results of the stages of one call. */
type StagesResult =
  | {
      readonly tag: 'made';
      /** What the call itself reads. */
      readonly inputs: string[];
      /** All results, to be freed after use. */
      readonly handles: string[];
    }
  | {readonly tag: 'failed'; readonly reason: string};

interface StagesOptions {
  readonly context: CallContext;
  readonly services: GatewayConfiguration['services'];
  readonly router: StageRouter;
  /** Where the call will probably run; null if it is not known. */
  readonly consumerDomain: string | null;
  getNow(): number;
}

/** Results of this size are made where they will be read, and not early. */
const LARGE_RESULT_BYTES = 500_000;
/** A result that is gone is made again so many times. */
const MAXIMUM_ROUNDS = 2;

/**
 * Makes the pieces of all stages of a call, each as soon as what it reads is
 * there; large results only so early that the others don't wait for them.
 *
 * @example
 *     const result = await runStages(options);
 */
export function runStages(options: StagesOptions): Promise<StagesResult> {
  const {
    context,
    services,
    router,
    consumerDomain: consumerDomain,
    getNow,
  } = options;
  const {call, route} = context;
  const {stages} = route;
  const counts = stages.map((_stage, position) => call.pieces[position] ?? 0);
  const handles: string[][] = counts.map(() => []);
  const missing = [...counts];
  /** When each stage was ordered; null before. */
  const orderedAt = counts.map((): number | null => null);
  const timesAfter = getRemainingTimes(
    createStageForecasts(context, services, () => null),
    estimateEngineTime(call.promptTokens),
  );
  const cancels = new Set<() => void>();
  let rounds = 0;
  let delayed: NodeJS.Timeout | null = null;

  return new Promise((resolve) => {
    let isSettled = false;

    function settle(result: StagesResult): void {
      if (isSettled) return;
      isSettled = true;
      clearDelay();
      context.cleanups.delete(abandon);
      resolve(result);
    }
    function clearDelay(): void {
      if (delayed !== null) clearTimeout(delayed);
      delayed = null;
    }
    function giveUp(reason: string): void {
      for (const cancel of cancels) cancel();
      router.free(handles.flat().filter((handle) => handle !== ''));
      settle({tag: 'failed', reason});
    }
    function abandon(): void {
      giveUp('callerGone');
    }

    function restart(): void {
      rounds += 1;
      if (rounds >= MAXIMUM_ROUNDS) return giveUp('inputGone');
      for (const cancel of cancels) cancel();
      cancels.clear();
      router.free(handles.flat().filter((handle) => handle !== ''));
      counts.forEach((count, position) => {
        handles[position] = [];
        missing[position] = count;
        orderedAt[position] = null;
      });
      advance();
    }

    /** Where most inputs lie, or where large results will be read. */
    function getDataDomain(
      stage: GatewayStage,
      inputs: readonly string[],
    ): string | null {
      if (inputs.length === 0) {
        return stage.resultBytes < LARGE_RESULT_BYTES ? null : consumerDomain;
      }
      const counts = new Map<string, number>();
      for (const input of inputs) {
        const domain = router.getFailureDomain(input);
        if (domain === undefined) continue;
        counts.set(domain, (counts.get(domain) ?? 0) + 1);
      }
      const [most] = [...counts].sort((left, right) => right[1] - left[1]);
      return most?.[0] ?? null;
    }

    function orderStage(position: number): void {
      const stage = stages[position]!;
      const service = services.get(stage.service);
      if (service === undefined || service.stage === null) {
        return giveUp('noEndpoint');
      }
      orderedAt[position] = getNow();
      const inputs = getStageInputs(stages, handles, position);
      const round = rounds;
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
            context.targetAt - timesAfter[position]! - getNow(),
          deadlineMilliseconds:
            context.deadlineAt - timesAfter[position]! - getNow(),
          resultBytes: stage.resultBytes,
          failureDomain: getDataDomain(stage, inputs),
        },
        (result) => {
          if (isSettled || round !== rounds) {
            if (result.tag === 'made') router.free([result.handle]);
            return;
          }
          if (result.tag === 'inputGone') return restart();
          if (result.tag !== 'made') return giveUp(result.tag);
          results[result.piece] = result.handle;
          missing[position]! -= 1;
          if (missing[position]! > 0) return;
          freeRead();
          advance();
        },
      );
      cancels.add(cancel);
    }

    /** Frees results that every stage that reads them has read. */
    function freeRead(): void {
      stages.forEach((_stage, position) => {
        const readers = stages.flatMap(({after}, later) =>
          after.includes(position) ? [later] : [],
        );
        if (readers.length === 0 || handles[position]!.length === 0) return;
        if (readers.some((later) => missing[later]! > 0)) return;
        router.free(handles[position]!);
        handles[position] = [];
      });
    }

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

    /** Begins each stage whose inputs are all there. */
    function advance(): void {
      if (missing.every((count) => count === 0)) {
        const inputs = getStageInputs(stages, handles, null);
        return settle({tag: 'made', inputs, handles: handles.flat()});
      }
      clearDelay();
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
      delayed = setTimeout(advance, nextDelay);
    }

    context.cleanups.add(abandon);
    if (context.isEnded) return abandon();
    advance();
  });
}
