import {getStageInputs} from 'hickorywharf-decisions/gateway/getStageInputs';
import type {GatewayConfiguration} from 'hickorywharf-types/gateway/gatewayConfiguration';
import type {CallContext} from './callContext.ts';
import type {StageDispatcher} from './stageDispatcher.ts';

/** Results of the stages of one call. */
type StageResult =
  | {
      readonly tag: 'made';
      /** What the call itself reads. */
      readonly inputs: string[];
      /** All results, to be freed after use. */
      readonly handles: string[];
    }
  | {readonly tag: 'failed'; readonly reason: string};

/** Time that a call spends after its stages, until its first event. */
const CALL_MILLISECONDS = 120;
const PROMPT_TOKENS_PER_MILLISECOND = 50;
/** A piece waits about half a call for its turn. */
const TURN_SHARE = 1.5;
/** A result that is gone is made again so many times. */
const MAXIMUM_ROUNDS = 2;

/**
 * Times from the beginning of each stage to the first event of the call, in
 * milliseconds, by the position of the stage.
 */
function getTimesAfter(
  context: CallContext,
  services: GatewayConfiguration['services'],
): number[] {
  const {stages} = context.route;
  const callTime =
    CALL_MILLISECONDS +
    context.call.promptTokens / PROMPT_TOKENS_PER_MILLISECOND;
  const times: number[] = [];
  for (let position = stages.length - 1; position >= 0; position -= 1) {
    const followers = stages.flatMap(({after}, later) => {
      if (!after.includes(position)) return [];
      const service = services.get(stages[later]!.service);
      const call = service?.stage?.callMilliseconds ?? 0;
      return [(times[later] ?? callTime) + call * TURN_SHARE];
    });
    times[position] = Math.max(callTime, ...followers);
  }
  return times;
}

/**
 * Makes the pieces of all stages of a call, each as soon as what it reads is
 * there.
 *
 * @example
 *     const result = await runStages(context, services, dispatcher);
 */
export function runStages(
  context: CallContext,
  services: GatewayConfiguration['services'],
  dispatcher: StageDispatcher,
): Promise<StageResult> {
  const {call, route} = context;
  const {stages} = route;
  const counts = stages.map((_stage, position) => call.pieces[position] ?? 0);
  const handles: string[][] = counts.map(() => []);
  const missing = [...counts];
  const isOrdered = counts.map(() => false);
  const timesAfter = getTimesAfter(context, services);
  const cancels = new Set<() => void>();
  let rounds = 0;

  return new Promise((resolve) => {
    let isSettled = false;

    function settle(result: StageResult): void {
      if (isSettled) return;
      isSettled = true;
      context.cleanups.delete(abandon);
      resolve(result);
    }
    function giveUp(reason: string): void {
      for (const cancel of cancels) cancel();
      dispatcher.free(handles.flat().filter((handle) => handle !== ''));
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
      dispatcher.free(handles.flat().filter((handle) => handle !== ''));
      counts.forEach((count, position) => {
        handles[position] = [];
        missing[position] = count;
        isOrdered[position] = false;
      });
      advance();
    }

    function orderStage(position: number): void {
      const stage = stages[position]!;
      const service = services.get(stage.service);
      if (service === undefined || service.stage === null) {
        return giveUp('noEndpoint');
      }
      isOrdered[position] = true;
      const inputs = getStageInputs(stages, handles, position);
      const round = rounds;
      const results = new Array<string>(counts[position]!).fill('');
      handles[position] = results;
      for (let piece = 0; piece < counts[position]!; piece += 1) {
        const cancel = dispatcher.order(
          {
            requestId: call.id,
            stage: position,
            piece,
            service,
            kind: `${route.name}/${position}`,
            key: stage.after.length === 0 ? call.pieceKey : null,
            inputs: stage.after.length === 0 ? null : inputs,
            priority: context.priority,
            targetAt: context.targetAt - timesAfter[position]!,
            deadlineAt: context.deadlineAt - timesAfter[position]!,
            resultBytes: stage.resultBytes,
          },
          (result) => {
            cancels.delete(cancel);
            if (isSettled || round !== rounds) {
              if (result.tag === 'made') dispatcher.free([result.handle]);
              return;
            }
            if (result.tag === 'inputGone') return restart();
            if (result.tag !== 'made') return giveUp(result.tag);
            results[piece] = result.handle;
            missing[position]! -= 1;
            if (missing[position] === 0) advance();
          },
        );
        cancels.add(cancel);
      }
    }

    /** Begins each stage whose inputs are all there. */
    function advance(): void {
      if (missing.every((count) => count === 0)) {
        const inputs = getStageInputs(stages, handles, null);
        return settle({tag: 'made', inputs, handles: handles.flat()});
      }
      stages.forEach(({after}, position) => {
        if (isOrdered[position] || counts[position] === 0) return;
        if (after.some((earlier) => missing[earlier]! > 0)) return;
        orderStage(position);
      });
    }

    context.cleanups.add(abandon);
    if (context.isOver) return abandon();
    advance();
  });
}
