/**
 * The metrics that entries and endpoint processes send, by name. The values of
 * every tag come from the configuration or a fixed list, never from callers'
 * requests, so that the number of series is bounded.
 */
export const metricDefinitions = {
  'entry.requests': {
    kind: 'counter',
    unit: 'requests',
    tags: ['outcome', 'reason'],
    meaning: 'requests that ended',
  },
  'entry.request_duration': {
    kind: 'timing',
    unit: 'milliseconds',
    tags: ['outcome'],
    meaning: 'from the arrival of a request to its end',
  },
  'entry.first_token_duration': {
    kind: 'timing',
    unit: 'milliseconds',
    tags: [],
    meaning: 'from the arrival of a request to its first token',
  },
  'entry.attempts': {
    kind: 'counter',
    unit: 'attempts',
    tags: ['pool', 'kind'],
    meaning: 'attempts sent to endpoint processes',
  },
  'entry.requests_in_flight': {
    kind: 'gauge',
    unit: 'requests',
    tags: [],
    meaning: 'requests accepted and not ended',
  },
  'endpoint.attempts': {
    kind: 'counter',
    unit: 'attempts',
    tags: ['ending', 'reason'],
    meaning: 'attempts that ended, were refused or failed',
  },
  'endpoint.queue_duration': {
    kind: 'timing',
    unit: 'milliseconds',
    tags: ['kind'],
    meaning: 'from taking an attempt to giving it to the backend',
  },
  'endpoint.backend_duration': {
    kind: 'timing',
    unit: 'milliseconds',
    tags: ['kind', 'outcome'],
    meaning: 'time of one call of the backend',
  },
  'endpoint.queued': {
    kind: 'gauge',
    unit: 'attempts',
    tags: [],
    meaning: 'attempts that wait',
  },
  'endpoint.running': {
    kind: 'gauge',
    unit: 'attempts',
    tags: [],
    meaning: 'attempts at the backend',
  },
  'configuration.sequence': {
    kind: 'gauge',
    unit: 'sequence',
    tags: [],
    meaning: 'the sequence in force',
  },
} as const satisfies Readonly<
  Record<
    string,
    {
      readonly kind: 'counter' | 'timing' | 'gauge';
      readonly unit: string;
      readonly tags: readonly string[];
      readonly meaning: string;
    }
  >
>;
