/** The fields of each kind of record that this version knows. */
export const knownRecordFields: Readonly<Record<string, readonly string[]>> = {
  pipeline: ['kind', 'name', 'schemaVersion', 'deadlineMilliseconds', 'stages'],
  route: ['kind', 'name', 'schemaVersion', 'pipeline', 'half', 'movesFrom'],
  account: [
    'kind',
    'name',
    'schemaVersion',
    'keyHash',
    'requestsPerSecond',
    'weight',
    'half',
    'movesFrom',
  ],
  endpoint: ['kind', 'name', 'schemaVersion', 'pool', 'half', 'draining'],
};
