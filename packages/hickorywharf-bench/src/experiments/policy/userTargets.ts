/** The users' targets, from their letters and the field's figures. */
export const userTargets = {
  attainment: {atLeast: 0.99},
  firstTokenMilliseconds: {atMost: 320},
  tokenGapMilliseconds: {atMost: 35},
  /** Goodput at twice the capacity, relative to the peak's. */
  overloadGoodput: {atLeast: 0.9},
  /** Seconds after a burst until the former attainment is back. */
  recoverySeconds: {atMost: 10},
  /** Attainment that a slowed endpoint may cost. */
  slowEndpointLoss: {atMost: 0.01},
  engineWaste: {atMost: 0.05},
  engineWasteInOverload: {atMost: 0.1},
  extraAttempts: {atMost: 0.1},
  /** Short requests' 99th percentile beside long ones, relative to alone. */
  headOfLine: {atMost: 1.5},
} as const;
