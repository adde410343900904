import {orderByRendezvous} from 'hickorywharf-utils/orderByRendezvous';
import {PROMPT_TOKENS_PER_MILLISECOND} from './promptTokensPerMillisecond.ts';

interface EngineChoice {
  readonly id: string;
  readonly failureDomain: string;
  /** Prompt tokens sent there whose first event is still owed. */
  readonly pendingTokens: number;
  readonly running: number;
  /** Time that the endpoint is to be left alone for its failures. */
  readonly penaltyMilliseconds: number;
}

interface EngineDemand {
  /** Parts of the prompt in order; the last one is the call's own. */
  readonly parts: ReadonlyArray<{readonly id: string; readonly tokens: number}>;
  readonly failureDomain: string;
  /** Where the stage results lie that the call reads. */
  readonly results: ReadonlyArray<string | undefined>;
  /** About how large one of them is. */
  readonly resultBytes: number;
}

/** Reading a session again costs others, too. */
const READ_AGAIN_FACTOR = 3;
/** A running call slows the others; from the step times of the sheets. */
const RUNNING_MILLISECONDS = 1.5;
/** What a megabyte from another failure domain is worth in time. */
const MEGABYTE_MILLISECONDS = 3.5;
const MEGABYTE = 1_000_000;
/** Prefers the own failure domain among equals. */
const OTHER_DOMAIN_MILLISECONDS = 1;

/**
 * The endpoint where a prompt will probably be read first.
 *
 * Load pattern: many sessions that come back, each with a long shared part, and
 * bursts on a few of them. A session has one endpoint that all instances agree
 * on without a word, so that its parts are read once; when that one is busier
 * than reading the parts again would cost, another one takes the call.
 *
 * @returns undefined where there is no endpoint
 * @example
 *     chooseEngine(engines, {parts, failureDomain: 'a', results: [], resultBytes: 0});
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
    const unread = choice.id === owner ? 0 : sessionTokens * READ_AGAIN_FACTOR;
    const distant = results.filter(
      (domain) => domain !== undefined && domain !== choice.failureDomain,
    ).length;
    const cost =
      ((distant * resultBytes) / MEGABYTE) * MEGABYTE_MILLISECONDS +
      (choice.pendingTokens + unread) / PROMPT_TOKENS_PER_MILLISECOND +
      choice.running * RUNNING_MILLISECONDS +
      choice.penaltyMilliseconds +
      (choice.failureDomain === failureDomain ? 0 : OTHER_DOMAIN_MILLISECONDS);
    if (cost < bestCost) [best, bestCost] = [choice, cost];
  }
  return best;
}
