/**
 * An `EngineReport` as frames carry it: `endpointId`, `startedAt`, `running`,
 * `pendingTokens`, `memoryTokens`, `observedMilliseconds` and
 * `expectedMilliseconds`.
 */
export type EngineRow = readonly [
  string,
  number,
  number,
  number,
  number,
  number,
  number,
];
