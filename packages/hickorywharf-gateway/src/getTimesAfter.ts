import {PROMPT_TOKENS_PER_MILLISECOND} from 'hickorywharf-decisions/gateway/promptTokensPerMillisecond';
import type {GatewayConfiguration} from 'hickorywharf-types/gateway/gatewayConfiguration';
import type {CallContext} from './callContext.ts';
import {getStageTime} from './getStageTime.ts';

/** Time that a call spends after its stages, until its first event. */
const CALL_MILLISECONDS = 120;

/**
 * Times from the end of each stage to the first event of the call, in
 * milliseconds, by the position of the stage, where nothing is overloaded.
 *
 * @example
 *     const [afterFirst] = getTimesAfter(context, services);
 */
export function getTimesAfter(
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
      return [(times[later] ?? callTime) + getStageTime(service)];
    });
    times[position] = Math.max(callTime, ...followers);
  }
  return times;
}
