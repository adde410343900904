/**
 * Runs a command of the workspace with the pinned Node: installs the packages
 * first when they are missing or come from another kind of machine, so that each
 * README command works from a bare clone.
 *
 *     node scripts/run.mjs test
 */
import {spawnSync} from 'node:child_process';
import path from 'node:path';
import {installPackages, packagesFit} from './packages.mjs';
import {runtimePath} from './runtime.mjs';

const root = path.resolve(import.meta.dirname, '..');
const node = runtimePath();
const bin = (name) => path.join(root, 'node_modules/.bin', name);
const source = (name) => path.join(root, 'packages', name);

const COMMANDS = {
  test: (rest) => [node, bin('ava'), ...rest],
  'test-crowds': (rest) => [
    node,
    bin('ava'),
    '--config',
    'crowds.config.js',
    ...rest,
  ],
  build: () => [node, path.join(root, 'scripts/build.mjs')],
  demo: (rest) => [node, source('hickorywharf-bench/bin/demo.ts'), ...rest],
  slopes: (rest) => [
    node,
    '--expose-gc',
    source('hickorywharf-bench/bin/slopes.ts'),
    ...rest,
  ],
  benchmark: (rest) => [
    node,
    source('hickorywharf-bench/bin/benchmark.ts'),
    ...rest,
  ],
  campaign: (rest) => [
    node,
    source('hickorywharf-bench/bin/campaign.ts'),
    ...rest,
  ],
  experiments: (rest) => [
    node,
    source('hickorywharf-bench/bin/experiments.ts'),
    ...rest,
  ],
  soak: (rest) => [node, path.join(root, 'platform/soak/soak.ts'), ...rest],
  'build-platform': () => [node, path.join(root, 'scripts/buildPlatform.mjs')],
  queues: () => [node, source('hickorywharf-bench/bin/queues.ts')],
  decisions: () => [node, source('hickorywharf-bench/bin/decisions.ts')],
  format: () => [node, bin('prettier'), '--check', '.'],
  'format-write': () => [
    node,
    bin('prettier'),
    '--write',
    '--log-level',
    'warn',
    '.',
  ],
  lint: () => [node, bin('eslint'), 'packages', 'platform'],
  types: () => [node, bin('tsc')],
  // What the platform's program reaches runs on the platform's own Node.js.
  'types-platform': () => [node, bin('tsc'), '-p', 'tsconfig.platform.json'],
};

function execute(command) {
  const [program, ...rest] = command;
  const result = spawnSync(program, rest, {cwd: root, stdio: 'inherit'});
  return result.status ?? 1;
}

const [name, ...rest] = process.argv.slice(2);
const build = COMMANDS[name ?? ''];
if (build === undefined) {
  console.error(`unknown command; one of: ${Object.keys(COMMANDS).join(', ')}`);
  process.exit(2);
}
const installed = packagesFit() ? 0 : installPackages();
if (installed !== 0) process.exit(installed);
const status = execute(build(rest));
// All tests: those that allow no other load follow when the others have ended.
const isWhole = name === 'test' && rest.every((word) => word.startsWith('--'));
const crowdStatus = isWhole ? execute(COMMANDS['test-crowds'](rest)) : 0;
process.exit(status === 0 ? crowdStatus : status);
