/**
 * What the stand-ins of an experiment cost, by the pool of their endpoint. A
 * batch is small and a token slow, so that the pools saturate long before the
 * machine does, under the users' 35 ms between tokens.
 */
export const standInCosts = {
  engines: {workMilliseconds: 4, tokenMilliseconds: 20, capacity: 4},
  encoders: {workMilliseconds: 8, sizeMilliseconds: 6, capacity: 4},
  retrievers: {workMilliseconds: 10, sizeMilliseconds: 0, capacity: 4},
  rerankers: {workMilliseconds: 10, sizeMilliseconds: 0, capacity: 4},
  services: {workMilliseconds: 10},
} as const;
