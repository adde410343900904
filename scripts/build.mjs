/**
 * Builds `dist/hickorywharf`: bundles the program into one CommonJS file and
 * places it inside a copy of the pinned Node.
 */
import {execFileSync} from 'node:child_process';
import fs from 'node:fs';
import path from 'node:path';
import {bundle} from './bundle.mjs';
import {runtimePath} from './runtime.mjs';

const root = path.resolve(import.meta.dirname, '..');
const output = path.join(root, 'dist');
const node = runtimePath();
const FUSE = 'NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2';

fs.mkdirSync(output, {recursive: true});
const main = path.join(output, 'hickorywharf.cjs');
await bundle({
  entryPoint: path.join(root, 'packages/hickorywharf/bin/hickorywharf.ts'),
  output: main,
  target: 'node24',
});

const configuration = path.join(output, 'sea.json');
const blob = path.join(output, 'hickorywharf.blob');
// A small young generation trades some collections for memory: each process
// has 128 MB, and what it holds for a request lives some milliseconds.
const YOUNG_GENERATION = '--max-semi-space-size=2';
fs.writeFileSync(
  configuration,
  JSON.stringify({
    main,
    output: blob,
    disableExperimentalSEAWarning: true,
    useCodeCache: true,
    execArgv: [YOUNG_GENERATION],
  }),
);
execFileSync(node, ['--experimental-sea-config', configuration], {
  stdio: 'ignore',
});

const program = path.join(output, 'hickorywharf');
const partial = `${program}.partial`;
fs.copyFileSync(node, partial);
fs.chmodSync(partial, 0o755);
execFileSync(
  node,
  [
    path.join(root, 'node_modules/postject/dist/cli.js'),
    partial,
    'NODE_SEA_BLOB',
    blob,
    '--sentinel-fuse',
    FUSE,
  ],
  {stdio: 'ignore'},
);
fs.renameSync(partial, program);
console.log(`built ${path.relative(root, program)}`);
