import {readFile} from 'node:fs/promises';
import {build} from 'esbuild';

/**
 * Modules that the logger loads if they are installed, for features that are not
 * used here: the names are computed, so that a bundler leaves them in place, and
 * each process would load them from the folder of the packages.
 */
const OPTIONAL_REQUIRE =
  /require\('(dtrace-provider|mv|source-map-support)' \+ ''\)/g;

const withoutOptionalModules = {
  name: 'without-optional-modules',
  setup({onLoad}) {
    onLoad({filter: /bunyan[\\/]lib[\\/]bunyan\.js$/}, async ({path}) => {
      const source = await readFile(path, 'utf8');
      const contents = source.replaceAll(OPTIONAL_REQUIRE, 'null');
      if (contents === source) throw new Error(`${path} has changed`);
      return {contents, loader: 'js'};
    });
  },
};

/**
 * Bundles a program with all that it imports into one CommonJS file.
 *
 * @param {{entryPoint: string, output: string, target: string}} options
 */
export async function bundle({entryPoint, output, target}) {
  await build({
    entryPoints: [entryPoint],
    bundle: true,
    platform: 'node',
    target,
    format: 'cjs',
    external: ['unix-dgram'],
    plugins: [withoutOptionalModules],
    outfile: output,
    logLevel: 'warning',
    legalComments: 'none',
  });
}
