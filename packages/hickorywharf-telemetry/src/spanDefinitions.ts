/**
 * The spans that entries and endpoint processes create, by name. Attributes
 * never contain a key or a body.
 */
export const spanDefinitions = {
  'entry.request': {
    parent: "the caller's `traceparent`, or none",
    attributes: ['request', 'pipeline'],
    meaning: 'a request, from its arrival to its end',
  },
  'entry.attempt': {
    parent: '`entry.request`',
    attributes: ['request', 'attempt', 'stage', 'peer'],
    meaning: 'an attempt, from sending it to its result, refusal or failure',
  },
  'endpoint.queue': {
    parent: '`entry.attempt`',
    attributes: ['request', 'attempt'],
    meaning: 'the time that an attempt waits in an endpoint process',
  },
  'endpoint.backend': {
    parent: '`entry.attempt`',
    attributes: ['request', 'attempt', 'stage'],
    meaning: 'a call of the backend, which is given this span as its parent',
  },
} as const satisfies Readonly<
  Record<
    string,
    {
      readonly parent: string;
      readonly attributes: readonly string[];
      readonly meaning: string;
    }
  >
>;
