import {build} from 'esbuild';

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
    // Optional parts of the logger, which it does without.
    external: ['dtrace-provider', 'mv', 'unix-dgram'],
    outfile: output,
    logLevel: 'warning',
    legalComments: 'none',
  });
}
