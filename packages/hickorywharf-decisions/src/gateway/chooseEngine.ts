import {orderByRendezvous} from 'hickorywharf-utils/orderByRendezvous';
import {PROMPT_TOKENS_PER_MILLISECOND} from './promptTokensPerMillisecond.ts';

interface EngineChoice {
  readonly id: string;
  readonly failureDomain: string;
  /** Prompt tokens of calls at the endpoint that have had no event yet. */
  readonly pendingTokens: number;
  /** Calls of this instance that the endpoint is running. */
  readonly running: number;
  /** Cost added for recent failures of the endpoint. */
  readonly penaltyMilliseconds: number;
}

interface EngineDemand {
  /** Parts of the prompt in order; the last one is unique to the call. */
  readonly parts: ReadonlyArray<{readonly id: string; readonly tokens: number}>;
  readonly failureDomain: string;
  /** Failure domains of the stage results that the call reads, if known. */
  readonly results: ReadonlyArray<string | undefined>;
  /** Approximate size of one result. */
  readonly resultBytes: number;
}

/** Above 1, because prefilling a session again also delays other calls. */
const PREFILL_AGAIN_FACTOR = 3;
/** How much one running call delays the others, by the engines' step times. */
const RUNNING_MILLISECONDS = 1.5;
/** Cost of reading a megabyte from another failure domain. */
const MEGABYTE_MILLISECONDS = 3.5;
const MEGABYTE = 1_000_000;
/** Breaks ties in favour of the local failure domain. */
const OTHER_DOMAIN_MILLISECONDS = 1;

/**
 * Picks the endpoint that is expected to finish prefilling a prompt first.
 *
 * Load pattern: many returning sessions, each with a long shared prompt prefix,
 * and bursts on a few of them. Rendezvous hashing gives each session one
 * endpoint that all instances agree on without communicating, so that its
 * prefix is prefilled once. If that endpoint is busier than prefilling the
 * prefix again would cost, another one gets the call.
 *
 * @returns undefined if there is no endpoint
 * @example
 *     const demand = {parts, failureDomain: 'a', results: [], resultBytes: 0};
 *     chooseEngine(engines, demand);
 */
export function chooseEngine<Choice extends EngineChoice>(
  choices: readonly Choice[],
  demand: EngineDemand,
): Choice | undefined {
  const {parts, failureDomain, results, resultBytes} = demand;
  const shared = parts.slice(0, -1);
  const session = shared.at(-1)?.id ?? parts.at(-1)?.id ?? '';
  const sessionTokens = shared.at(-1)?.tokens ?? 0;
  const [owner] = orderByRendezvous(
    session,
    choices.map(({id}) => id),
  );
  let best: Choice | undefined;
  let bestCost = Infinity;
  for (const choice of choices) {
    const uncachedTokens =
      choice.id === owner ? 0 : sessionTokens * PREFILL_AGAIN_FACTOR;
    const remoteResults = results.filter(
      (domain) => domain !== undefined && domain !== choice.failureDomain,
    ).length;
    const cost =
      ((remoteResults * resultBytes) / MEGABYTE) * MEGABYTE_MILLISECONDS +
      (choice.pendingTokens + uncachedTokens) / PROMPT_TOKENS_PER_MILLISECOND +
      choice.running * RUNNING_MILLISECONDS +
      choice.penaltyMilliseconds +
      (choice.failureDomain === failureDomain ? 0 : OTHER_DOMAIN_MILLISECONDS);
    if (cost < bestCost) [best, bestCost] = [choice, cost];
  }
  return best;
}
