/** Counters of a gateway, each with its label and its help text. */
export const GATEWAY_COUNTERS = {
  calls: {label: 'result', meaning: "callers' requests by how they ended"},
  refusals: {label: 'reason', meaning: 'refusals of our own by their reason'},
  attempts: {
    label: 'result',
    meaning: 'sends to endpoints by what they came to',
  },
  failedAttempts: {
    label: 'cause',
    meaning: 'sends to endpoints without a whole answer by what ended them',
  },
  failedCalls: {
    label: 'cause',
    meaning: 'calls that could not go on at an endpoint by what was missing',
  },
  silences: {
    label: 'event',
    meaning: 'silent endpoints by what became of the calls there',
  },
  hedges: {
    label: 'event',
    meaning: 'slow calls by what became of a second attempt',
  },
  pieces: {
    label: 'outcome',
    meaning: 'pieces of stages by what became of them',
  },
  stageCalls: {label: 'result', meaning: 'calls that make pieces'},
  storeReads: {label: 'result', meaning: "reads of the platform's store"},
  peerFetches: {
    label: 'result',
    meaning: 'fetches of state from other instances',
  },
  configurationFetches: {
    label: 'result',
    meaning: 'fetches of a newer configuration from other instances',
  },
  rateLimits: {
    label: 'kind',
    meaning: 'responses of endpoints by the rate limit that they state',
  },
  withdrawals: {
    label: 'kind',
    meaning: 'responses of endpoints that say that they take no calls',
  },
  releases: {
    label: 'result',
    meaning: 'calls that release results of stages, sent or not',
  },
  limitedCalls: {
    label: 'result',
    meaning:
      'calls for which the rate limits and pauses of endpoints left no room',
  },
  coldEndpoints: {
    label: 'event',
    meaning: 'endpoints that began to count as cold by why, or as warm again',
  },
  coldCalls: {
    label: 'result',
    meaning: 'calls to cold endpoints by when they were sent',
  },
  streamRecords: {
    label: 'result',
    meaning: 'records of the versions that began streams',
  },
  publishedVersions: {
    label: 'result',
    meaning: 'writes of the versions at which this instance may begin streams',
  },
  streamConfirmations: {
    label: 'result',
    meaning: 'reads of the endpoint list before a stream was resumed',
  },
  resumptions: {
    label: 'result',
    meaning:
      'streams that callers resumed, by where the version was known from',
  },
  endpointEnds: {
    label: 'result',
    meaning: 'broken connections by whether the process of the endpoint ended',
  },
  promptParts: {
    label: 'event',
    meaning: 'parts of prompts by what was decided about them',
  },
  droppedHoldings: {
    label: 'kind',
    meaning: 'requests, responses and frames dropped for memory',
  },
  closedConnections: {
    label: 'kind',
    meaning: 'connections of callers that were closed to bound their number',
  },
  logLinesLeftOut: {label: 'reason', meaning: 'log lines beyond the bound'},
} as const;
