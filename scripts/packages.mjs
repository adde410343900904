import {spawnSync} from 'node:child_process';
import {existsSync} from 'node:fs';
import path from 'node:path';
import {runtimePath} from './runtime.mjs';

const root = path.resolve(import.meta.dirname, '..');
const INSTALL = ['ci', '--ignore-scripts', '--no-audit', '--no-fund'];

/**
 * How to start npm. `npm run` puts `node_modules/.bin` first on the path, where
 * `node` may be of another kind of machine, so npm starts on this Node.js.
 */
function npmCommand() {
  const script = process.env.npm_execpath;
  return script === undefined ? ['npm'] : [process.execPath, script];
}

/** Tells whether `node_modules` is there and fits this kind of machine. */
export function packagesFit() {
  return existsSync(runtimePath());
}

/** Installs the packages of the lock file anew and returns the exit code. */
export function installPackages() {
  const [program, ...rest] = [...npmCommand(), ...INSTALL];
  const {status} = spawnSync(program, rest, {cwd: root, stdio: 'inherit'});
  if (status !== 0) return status ?? 1;
  if (packagesFit()) return 0;
  console.error(`npm did not install ${path.relative(root, runtimePath())}`);
  return 1;
}
