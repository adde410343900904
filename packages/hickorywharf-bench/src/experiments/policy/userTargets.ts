/** Targets from the users' requirements and from usual values of the field. */
export const userTargets = {
  attainment: {atLeast: 0.99},
  firstTokenMilliseconds: {atMost: 320},
  tokenGapMilliseconds: {atMost: 35},
  /** Goodput at twice the capacity, relative to the peak goodput. */
  overloadGoodput: {atLeast: 0.9},
  /** Seconds until attainment recovers after a burst or a failure. */
  recoverySeconds: {atMost: 10},
  /** Loss of attainment caused by one slow endpoint. */
  slowEndpointLoss: {atMost: 0.01},
  engineWaste: {atMost: 0.05},
  engineWasteInOverload: {atMost: 0.1},
  extraAttempts: {atMost: 0.1},
  /** Latency p99 of short requests among long ones, relative to alone. */
  headOfLine: {atMost: 1.5},
} as const;
