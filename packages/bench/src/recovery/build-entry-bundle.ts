import { join } from 'node:path';
import { findSource } from '../find-source.js';

/**
 * Bundles the command line into one file in `folder`, because a bundle starts several times faster than
 * `tsx`. Returns the path of the file.
 */
export async function buildEntryBundle(folder: string): Promise<string> {
  const main = findSource('../../../cli/src/main.ts', import.meta.url);
  // Imported on use, so that the command line runs without esbuild.
  const { build } = await import('esbuild');
  const outfile = join(folder, 'acaciahoist.mjs');
  await build({
    entryPoints: [main],
    bundle: true,
    platform: 'node',
    format: 'esm',
    // The `main` file of jsonc-parser loads its modules in a way that cannot be bundled.
    mainFields: ['module', 'main'],
    outfile,
    // Optional native modules; the packages work without them.
    external: ['dtrace-provider', 'mv', 'source-map-support', 'msgpackr-extract', 'esbuild'],
    banner: {
      js: "import { createRequire as createBundleRequire } from 'node:module'; const require = createBundleRequire(import.meta.url);",
    },
    logLevel: 'error',
  });
  return outfile;
}
