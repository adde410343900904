/**
 * Installs the packages of the lock file when `node_modules` is missing, older
 * than the lock file, or made on a machine of another kind. The build of
 * `deploy/system.toml` runs it.
 *
 *     node scripts/install.mjs
 */
import {statSync} from 'node:fs';
import path from 'node:path';
import {installPackages, packagesFit} from './packages.mjs';

const root = path.resolve(import.meta.dirname, '..');

function modified(name) {
  const status = statSync(path.join(root, name), {throwIfNoEntry: false});
  return status?.mtimeMs ?? 0;
}

function packagesAreCurrent() {
  return (
    packagesFit() && modified('node_modules') > modified('package-lock.json')
  );
}

process.exit(packagesAreCurrent() ? 0 : installPackages());
