interface EndpointChoice {
  readonly id: string;
  readonly failureDomain: string;
  /** Calls that the endpoint runs in parallel. */
  readonly slots: number;
  /** Calls of this instance that the endpoint is running. */
  readonly running: number;
  /** Moving average of the endpoint's response time. */
  readonly responseMilliseconds: number;
  /** Cost added for recent failures of the endpoint. */
  readonly penaltyMilliseconds: number;
}

/**
 * Picks the endpoint with the shortest expected response time, for services
 * whose calls do not benefit from caches at endpoints. The expected time is the
 * average response time, increased by the share of the endpoint's slots that
 * calls of this instance occupy, plus the penalty for failures. The response
 * time of a remote endpoint counts as a tenth longer, so that a local endpoint
 * is preferred to a remote one that is hardly faster.
 *
 * Designed for short calls to endpoints of different speed, some of them slow
 * or failing.
 *
 * @param failureDomain failure domain of this instance
 * @returns undefined if there is no endpoint
 * @example
 *     chooseEndpoint(endpoints, 'domain-a')?.id; // 'desk-2'
 */
export function chooseEndpoint<Choice extends EndpointChoice>(
  choices: readonly Choice[],
  failureDomain: string,
): Choice | undefined {
  const OTHER_DOMAIN_FACTOR = 1.1;
  let best: Choice | undefined;
  let bestCost = Infinity;
  for (const choice of choices) {
    const {running, slots, responseMilliseconds, penaltyMilliseconds} = choice;
    const factor =
      choice.failureDomain === failureDomain ? 1 : OTHER_DOMAIN_FACTOR;
    const cost =
      responseMilliseconds * (1 + running / Math.max(slots, 1)) * factor +
      penaltyMilliseconds;
    if (cost < bestCost) [best, bestCost] = [choice, cost];
  }
  return best;
}
