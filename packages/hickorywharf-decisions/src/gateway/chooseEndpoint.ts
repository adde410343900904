interface EndpointCandidate {
  readonly id: string;
  readonly failureDomain: string;
  /** Most calls that the endpoint runs in parallel; 0 counts as 1. */
  readonly slots: number;
  /**
   * Calls of this instance in progress at the endpoint. Those beyond its slots
   * are queued there.
   */
  readonly running: number;
  /** Moving average of the endpoint's response time. */
  readonly responseMilliseconds: number;
  /** Cost added for recent failures of the endpoint. */
  readonly penaltyMilliseconds: number;
}

/**
 * Picks the endpoint with the shortest expected response time, for services
 * whose calls do not benefit from caches at endpoints. The expected time is the
 * average response time, increased by the ratio of this instance's calls at the
 * endpoint to its slots, plus the penalty for failures. The response time of an
 * endpoint in another failure domain counts as a tenth longer, so that an
 * endpoint in the failure domain of this instance is preferred to one elsewhere
 * that is hardly faster.
 *
 * Designed for short calls to endpoints of different speed, some of them slow
 * or failing.
 *
 * @param failureDomain failure domain of this instance
 * @returns undefined if there is no endpoint
 * @example
 *     chooseEndpoint(endpoints, 'domain-a')?.id; // 'desk-2'
 */
export function chooseEndpoint<Candidate extends EndpointCandidate>(
  candidates: readonly Candidate[],
  failureDomain: string,
): Candidate | undefined {
  const OTHER_DOMAIN_FACTOR = 1.1;
  let best: Candidate | undefined;
  let bestCost = Infinity;
  for (const candidate of candidates) {
    const {running, slots, responseMilliseconds, penaltyMilliseconds} =
      candidate;
    const factor =
      candidate.failureDomain === failureDomain ? 1 : OTHER_DOMAIN_FACTOR;
    const cost =
      responseMilliseconds * (1 + running / Math.max(slots, 1)) * factor +
      penaltyMilliseconds;
    if (cost < bestCost) [best, bestCost] = [candidate, cost];
  }
  return best;
}
