import {orderByRendezvous} from 'hickorywharf-utils/orderByRendezvous';
import {PROMPT_TOKENS_PER_MILLISECOND} from './promptTokensPerMillisecond.ts';

interface EngineCandidate {
  readonly id: string;
  readonly failureDomain: string;
  /**
   * Prompt tokens of this instance's calls at the endpoint that have no first
   * event yet.
   */
  readonly pendingTokens: number;
  /** Calls of this instance in progress at the endpoint, running or queued. */
  readonly running: number;
  /** Cost added for recent failures of the endpoint. */
  readonly penaltyMilliseconds: number;
}

interface EngineDemand {
  /** Parts of the prompt in order; only the last one is unique to the call. */
  readonly parts: ReadonlyArray<{readonly id: string; readonly tokens: number}>;
  /** Failure domain of this instance. */
  readonly failureDomain: string;
  /** Failure domains of the stage results to read; undefined if unknown. */
  readonly results: ReadonlyArray<string | undefined>;
  /** Approximate size of one result. */
  readonly resultBytes: number;
}

/**
 * Factor on the shared tokens of a session that an endpoint would prefill
 * again. Above 1, because prefilling a session again also delays other calls.
 */
const PREFILL_AGAIN_FACTOR = 3;
/**
 * Delay that each call in progress adds to a new one, from the step times of
 * the engines in the deployments' limits.
 */
const RUNNING_CALL_MILLISECONDS = 1.5;
/** Cost of reading a megabyte from another failure domain. */
const REMOTE_MEGABYTE_MILLISECONDS = 3.5;
const BYTES_PER_MEGABYTE = 1_000_000;
/** Breaks ties in favour of the failure domain of this instance. */
const OTHER_DOMAIN_MILLISECONDS = 1;

/**
 * Picks the endpoint that is expected to finish prefilling a prompt first, with
 * the cost of recent failures added to the expected time.
 *
 * Designed for many returning sessions, each with a long shared prompt prefix,
 * and bursts on a few of them. The last shared part of the prompt identifies
 * the session. Rendezvous hashing gives each session one endpoint that all
 * instances agree on without communicating, so that the prefix is prefilled
 * only once. If waiting for that endpoint costs more than
 * prefilling the prefix again, another endpoint gets the call.
 *
 * @returns undefined if there is no endpoint
 * @example
 *     const demand = {parts, failureDomain: 'a', results: [], resultBytes: 0};
 *     chooseEngine(engines, demand)?.id; // 'engine-3'
 */
export function chooseEngine<Candidate extends EngineCandidate>(
  candidates: readonly Candidate[],
  demand: EngineDemand,
): Candidate | undefined {
  const {parts, failureDomain, results, resultBytes} = demand;
  const shared = parts.slice(0, -1);
  // Without a shared part, `sessionTokens` is 0 and the session has no effect.
  const session = shared.at(-1)?.id ?? parts.at(-1)?.id ?? '';
  const sessionTokens = shared.at(-1)?.tokens ?? 0;
  const [preferredId] = orderByRendezvous(
    session,
    candidates.map(({id}) => id),
  );
  let best: Candidate | undefined;
  let bestCost = Infinity;
  for (const candidate of candidates) {
    const uncachedTokens =
      candidate.id === preferredId ? 0 : sessionTokens * PREFILL_AGAIN_FACTOR;
    const remoteResults = results.filter(
      (domain) => domain !== undefined && domain !== candidate.failureDomain,
    ).length;
    const cost =
      ((remoteResults * resultBytes) / BYTES_PER_MEGABYTE) *
        REMOTE_MEGABYTE_MILLISECONDS +
      (candidate.pendingTokens + uncachedTokens) /
        PROMPT_TOKENS_PER_MILLISECOND +
      candidate.running * RUNNING_CALL_MILLISECONDS +
      candidate.penaltyMilliseconds +
      (candidate.failureDomain === failureDomain
        ? 0
        : OTHER_DOMAIN_MILLISECONDS);
    if (cost < bestCost) [best, bestCost] = [candidate, cost];
  }
  return best;
}
