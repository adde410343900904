interface EndpointChoice {
  readonly id: string;
  readonly failureDomain: string;
  readonly slots: number;
  readonly running: number;
  /** Usual time of an answer there. */
  readonly answerMilliseconds: number;
  /** Time that the endpoint is to be left alone for its failures. */
  readonly penaltyMilliseconds: number;
}

/**
 * The endpoint of a plain service where an answer is expected first: its usual
 * time, longer the more of its slots this instance holds. The own failure
 * domain wins among near equals.
 *
 * Load pattern: short calls at endpoints of unlike speed, some of them slow or
 * failing.
 *
 * @returns undefined where there is no endpoint
 * @example
 *     chooseEndpoint(endpoints, 'domain-a');
 */
export function chooseEndpoint<Choice extends EndpointChoice>(
  choices: readonly Choice[],
  failureDomain: string,
): Choice | undefined {
  const OTHER_DOMAIN_FACTOR = 1.1;
  let best: Choice | undefined;
  let bestCost = Infinity;
  for (const choice of choices) {
    const {running, slots, answerMilliseconds, penaltyMilliseconds} = choice;
    const factor =
      choice.failureDomain === failureDomain ? 1 : OTHER_DOMAIN_FACTOR;
    const cost =
      answerMilliseconds * (1 + running / Math.max(slots, 1)) * factor +
      penaltyMilliseconds;
    if (cost < bestCost) [best, bestCost] = [choice, cost];
  }
  return best;
}
