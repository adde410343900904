/**
 * Writes into each package.json the dependencies that the package's sources
 * import, at the versions of the root.
 *
 *     node scripts/declareDependencies.mjs
 */
import fs from 'node:fs';
import path from 'node:path';

const root = path.resolve(import.meta.dirname, '..');
const rootFile = path.join(root, 'package.json');
const rootPackage = JSON.parse(fs.readFileSync(rootFile, 'utf8'));
const versions = {...rootPackage.devDependencies, ...rootPackage.dependencies};
const packages = path.join(root, 'packages');

function getImports(directory) {
  const found = new Set();
  for (const file of fs.readdirSync(directory, {recursive: true})) {
    if (!file.endsWith('.ts') || file.includes('__tests__')) continue;
    const source = fs.readFileSync(path.join(directory, file), 'utf8');
    for (const [, name] of source.matchAll(/from '([^'.][^']*)'/g)) {
      if (name.startsWith('node:')) continue;
      const words = name.split('/');
      found.add(words.slice(0, name.startsWith('@') ? 2 : 1).join('/'));
    }
  }
  return [...found].sort();
}

const folders = fs
  .readdirSync(packages)
  .map((name) => path.join(packages, name));
for (const folder of [...folders, path.join(root, 'platform')]) {
  const file = path.join(folder, 'package.json');
  const description = JSON.parse(fs.readFileSync(file, 'utf8'));
  const {name} = description;
  const imports = getImports(folder);
  description.dependencies = Object.fromEntries(
    imports
      .filter((imported) => imported !== name)
      .map((imported) => [imported, versions[imported] ?? '0.1.0']),
  );
  fs.writeFileSync(file, `${JSON.stringify(description, null, 2)}\n`);
}
