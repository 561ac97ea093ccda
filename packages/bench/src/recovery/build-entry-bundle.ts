import { join } from 'node:path';
import { findSource } from '../find-source.js';

/**
 * Bundles the command line, and the module that connects a process through links, into one file each in
 * `folder`, because a bundle starts several times faster than `tsx`. Returns the paths of the files.
 */
export async function buildEntryBundle(
  folder: string,
): Promise<{ program: string; redirect: string }> {
  const entryPoints = {
    acaciahoist: findSource('../../../cli/src/main.ts', import.meta.url),
    redirect: findSource('../soak/redirect-main.ts', import.meta.url),
  };
  // Imported on use, so that the command line runs without esbuild.
  const { build } = await import('esbuild');
  await build({
    entryPoints,
    outdir: folder,
    outExtension: { '.js': '.mjs' },
    bundle: true,
    platform: 'node',
    format: 'esm',
    // The `main` file of jsonc-parser loads its modules in a way that cannot be bundled.
    mainFields: ['module', 'main'],
    // Optional native modules; the packages work without them.
    external: ['dtrace-provider', 'mv', 'source-map-support', 'msgpackr-extract', 'esbuild'],
    banner: {
      js: "import { createRequire as createBundleRequire } from 'node:module'; const require = createBundleRequire(import.meta.url);",
    },
    logLevel: 'error',
  });
  return { program: join(folder, 'acaciahoist.mjs'), redirect: join(folder, 'redirect.mjs') };
}
