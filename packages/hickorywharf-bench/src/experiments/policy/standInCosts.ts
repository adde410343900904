/**
 * Service times and capacities of the stand-ins, by pool. Batches are small and
 * tokens slow, so that the pools saturate well before the machine does. A token
 * still takes less than the required 35 ms.
 */
export const standInCosts = {
  engines: {workMilliseconds: 4, tokenMilliseconds: 20, capacity: 4},
  encoders: {workMilliseconds: 8, sizeMilliseconds: 6, capacity: 4},
  retrievers: {workMilliseconds: 10, sizeMilliseconds: 0, capacity: 4},
  rerankers: {workMilliseconds: 10, sizeMilliseconds: 0, capacity: 4},
  services: {workMilliseconds: 10},
} as const;
