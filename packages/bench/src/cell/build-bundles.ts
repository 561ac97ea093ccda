import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { findSource } from '../find-source.js';

/** Modules that are not bundled: optional ones of bunyan and hot-shots, loaded only if present, and esbuild. */
const EXTERNALS = ['dtrace-provider', 'mv', 'source-map-support', 'unix-dgram', 'esbuild'];

interface Bundles {
  commandLine: string;
  standIn: string;
  folder: string;
  remove: () => Promise<void>;
}

/** Bundles the command line and the simulated platform into a temporary folder, because bundles start faster. */
export async function buildBundles(): Promise<Bundles> {
  const source = (path: string): string => findSource(path, import.meta.url);
  const entryPoints = {
    main: source('../../../cli/src/main.ts'),
    'stand-in': source('./stand-in-main.ts'),
  };
  // Imported on use, so that the command line runs without esbuild.
  const { build } = await import('esbuild');
  const folder = await mkdtemp(join(tmpdir(), 'acaciahoist-bench-'));
  await build({
    entryPoints,
    outdir: folder,
    outExtension: { '.js': '.cjs' },
    bundle: true,
    platform: 'node',
    format: 'cjs',
    mainFields: ['module', 'main'],
    external: EXTERNALS,
    logLevel: 'error',
  });
  return {
    commandLine: join(folder, 'main.cjs'),
    standIn: join(folder, 'stand-in.cjs'),
    folder,
    remove: () => rm(folder, { recursive: true, force: true }),
  };
}
