/**
 * Builds `target/hickorywharf.cjs`, the program that the platform runs: the
 * product with the adapter in `platform/`, as one CommonJS file.
 */
import {build} from 'esbuild';
import path from 'node:path';

const root = path.resolve(import.meta.dirname, '..');
await build({
  entryPoints: [path.join(root, 'platform/bin/hickorywharf.ts')],
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  external: ['dtrace-provider', 'mv', 'unix-dgram'],
  outfile: path.join(root, 'target/hickorywharf.cjs'),
  logLevel: 'warning',
  legalComments: 'none',
});
