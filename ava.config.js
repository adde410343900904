/** The tests that may run beside each other. */
export default {
  extensions: {ts: 'module'},
  files: [
    'packages/*/src/**/__tests__/*.test.ts',
    'platform/src/**/__tests__/*.test.ts',
    'platform/soak/__tests__/*.test.ts',
  ],
  timeout: '2m',
};
