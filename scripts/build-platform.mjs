/** Builds target/acaciahoist.cjs: the program of the platform role in one file. */
import { mkdirSync } from 'node:fs';
import { build } from 'esbuild';

mkdirSync('target', { recursive: true });
await build({
  entryPoints: ['platform/main.ts'],
  outfile: 'target/acaciahoist.cjs',
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  minify: true,
  keepNames: true,
  mainFields: ['module', 'main'],
  // Optional native parts of bunyan and ws, which work without them.
  external: ['dtrace-provider', 'mv', 'source-map-support', 'bufferutil', 'utf-8-validate'],
  logLevel: 'error',
});
