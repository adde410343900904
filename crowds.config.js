/** Tests of memory and descriptors, which run one at a time without other load. */
export default {
  extensions: {ts: 'module'},
  files: ['platform/crowds/__tests__/*.test.ts'],
  concurrency: 1,
  serial: true,
  timeout: '2m',
};
