import {PROMPT_TOKENS_PER_MILLISECOND} from './promptTokensPerMillisecond.ts';

interface EngineState {
  /** Calls of all instances in progress at the engine. */
  readonly running: number;
  /** Prompt tokens of these calls that the engine still has to read. */
  readonly pendingTokens: number;
  /** Prompt tokens of these calls, which its memory holds. */
  readonly memoryTokens: number;
  /** How much longer its work takes than that of a usual engine. */
  readonly slowness: number;
  /** Calls that it runs in parallel; Infinity if it is not known. */
  readonly slots: number;
  /** The most tokens in its memory; Infinity if it is not known. */
  readonly capacityTokens: number;
}

interface EngineCall {
  readonly promptTokens: number;
  /** Tokens of the prompt that the engine's memory does not hold. */
  readonly uncachedTokens: number;
  readonly outputTokens: number;
}

interface EngineForecast {
  /** Time until the call has a slot and memory. */
  readonly startMilliseconds: number;
  /** Time until its first event. */
  readonly firstEventMilliseconds: number;
  /** Time between output tokens while no prompt is read. */
  readonly paceMilliseconds: number;
  /** Time until its end, if it makes all the output tokens. */
  readonly endMilliseconds: number;
}

/** Time of a usual engine from the arrival of a call to its first tokens. */
const FIRST_EVENT_MILLISECONDS = 30;
/** A step of a usual engine, and what each call in it adds. */
const STEP_MILLISECONDS = 6;
const STEP_PER_CALL_MILLISECONDS = 0.05;

/**
 * Forecasts how a call would fare at an engine: prompts are read one after the
 * other, and running calls make a token each step. Without a free slot, or room
 * in memory, the call waits until enough of the calls there have ended.
 *
 * @example
 *     forecastEngine(idle, {promptTokens: 9000, uncachedTokens: 3000, outputTokens: 50});
 */
export function forecastEngine(
  engine: EngineState,
  call: EngineCall,
): EngineForecast {
  const {slowness, running} = engine;
  const readMilliseconds =
    ((engine.pendingTokens + call.uncachedTokens) /
      PROMPT_TOKENS_PER_MILLISECOND) *
    slowness;
  const paceMilliseconds =
    (STEP_MILLISECONDS + (running + 1) * STEP_PER_CALL_MILLISECONDS) * slowness;
  const runMilliseconds = call.outputTokens * paceMilliseconds;
  // The share of the calls there that has to end before this one starts.
  const forSlot = Math.max(0, running + 1 - engine.slots) / engine.slots;
  const memoryTokens =
    engine.memoryTokens + call.promptTokens + call.outputTokens;
  const forMemory =
    Math.max(0, memoryTokens - engine.capacityTokens) / engine.capacityTokens;
  const startMilliseconds =
    Math.max(forSlot, forMemory) * (runMilliseconds + readMilliseconds);
  const firstEventMilliseconds =
    startMilliseconds + FIRST_EVENT_MILLISECONDS * slowness + readMilliseconds;
  return {
    startMilliseconds,
    firstEventMilliseconds,
    paceMilliseconds,
    endMilliseconds: firstEventMilliseconds + runMilliseconds,
  };
}
