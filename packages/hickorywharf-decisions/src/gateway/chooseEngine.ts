import {countUncachedTokens} from './countUncachedTokens.ts';
import {forecastEngine} from './forecastEngine.ts';
import {orderSession} from './orderSession.ts';
import {PROMPT_TOKENS_PER_MILLISECOND} from './promptTokensPerMillisecond.ts';

type EngineCandidate = Parameters<typeof forecastEngine>[0] & {
  readonly id: string;
  readonly failureDomain: string;
  /** Cost added for recent failures of the endpoint. */
  readonly penaltyMilliseconds: number;
};

interface EngineDemand {
  /** Parts of the prompt in order; only the last one is unique to the call. */
  readonly parts: ReadonlyArray<{readonly id: string; readonly tokens: number}>;
  readonly promptTokens: number;
  readonly outputTokens: number;
  /** Failure domain of this instance. */
  readonly failureDomain: string;
  /** Failure domains of the stage results to read; undefined if unknown. */
  readonly results: ReadonlyArray<string | undefined>;
  /** Approximate size of one result. */
  readonly resultBytes: number;
}

/**
 * Factor on the time to prefill shared tokens that the engine does not hold.
 * Above 1, because prefilling a session again also delays other calls.
 */
const PREFILL_AGAIN_FACTOR = 4;
/**
 * Share of a prefill by which it delays each call that runs beside it; prompts
 * are read in chunks, between the tokens of these calls.
 */
const DELAY_SHARE = 0.1;
/**
 * Engines, by the order of the session, that a call goes to as a rule. Of few
 * choices, the instances that know the same figures take different ones for
 * different sessions, and do not all send to the engine that seems idle.
 */
const CHOICES = 3;
/** Cost of an engine beyond these, which is for those that are full or fail. */
const FURTHER_CHOICE_MILLISECONDS = 500;
/**
 * Delay that each call in progress adds at an engine of which nothing else is
 * known, so that calls without a prompt are spread.
 */
const UNKNOWN_CALL_MILLISECONDS = 1.5;
/** Cost of reading a megabyte from another failure domain. */
const REMOTE_MEGABYTE_MILLISECONDS = 3.5;
const BYTES_PER_MEGABYTE = 1_000_000;
/** Breaks ties in favour of the failure domain of this instance. */
const OTHER_DOMAIN_MILLISECONDS = 1;

/**
 * Picks the endpoint that is expected to make the first event of a call first,
 * with the delay of the calls beside it and the cost of recent failures.
 *
 * Designed for many returning sessions, each with a long shared prompt prefix,
 * bursts on a few of them, and engines that differ in speed. The last shared
 * part of the prompt identifies the session. Rendezvous hashing gives each
 * session an order of endpoints that all instances agree on without
 * communicating, so that the prefix is prefilled only once. If waiting for the
 * first endpoint costs more than prefilling the prefix again, another endpoint
 * gets the call; long prompts go where few calls run beside them.
 *
 * @returns undefined if there is no endpoint
 * @example
 *     const demand = {parts, promptTokens, outputTokens, failureDomain: 'a', results: [], resultBytes: 0};
 *     chooseEngine(engines, demand)?.id; // 'engine-3'
 */
export function chooseEngine<Candidate extends EngineCandidate>(
  candidates: readonly Candidate[],
  demand: EngineDemand,
): Candidate | undefined {
  const {parts, promptTokens, outputTokens} = demand;
  const {failureDomain, results, resultBytes} = demand;
  const order = orderSession(parts, candidates);
  const ranks = new Map(order.map((id, rank) => [id, rank]));
  const newTokens = countUncachedTokens(parts, 0);
  let best: Candidate | undefined;
  let bestCost = Infinity;
  for (const candidate of candidates) {
    const rank = ranks.get(candidate.id)!;
    const uncachedTokens = countUncachedTokens(parts, rank);
    const {slowness, running} = candidate;
    const readMilliseconds =
      (uncachedTokens / PROMPT_TOKENS_PER_MILLISECOND) * slowness;
    const againMilliseconds =
      ((uncachedTokens - newTokens) / PROMPT_TOKENS_PER_MILLISECOND) *
      (PREFILL_AGAIN_FACTOR - 1);
    const forecast = forecastEngine(candidate, {
      promptTokens,
      uncachedTokens,
      outputTokens,
    });
    const remoteResults = results.filter(
      (domain) => domain !== undefined && domain !== candidate.failureDomain,
    ).length;
    const cost =
      ((remoteResults * resultBytes) / BYTES_PER_MEGABYTE) *
        REMOTE_MEGABYTE_MILLISECONDS +
      forecast.firstEventMilliseconds +
      againMilliseconds +
      running * readMilliseconds * DELAY_SHARE +
      (rank < CHOICES || parts.length === 0 ? 0 : FURTHER_CHOICE_MILLISECONDS) +
      (candidate.slots === Infinity ? running * UNKNOWN_CALL_MILLISECONDS : 0) +
      candidate.penaltyMilliseconds +
      (candidate.failureDomain === failureDomain
        ? 0
        : OTHER_DOMAIN_MILLISECONDS);
    if (cost < bestCost) [best, bestCost] = [candidate, cost];
  }
  return best;
}
