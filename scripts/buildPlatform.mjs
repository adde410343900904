/**
 * Builds `target/hickorywharf.cjs`, the program that the platform runs: the
 * product with the adapter in `platform/`, as one CommonJS file.
 */
import path from 'node:path';
import {bundle} from './bundle.mjs';

const root = path.resolve(import.meta.dirname, '..');
await bundle({
  entryPoint: path.join(root, 'platform/bin/hickorywharf.ts'),
  output: path.join(root, 'target/hickorywharf.cjs'),
  target: 'node20',
});
