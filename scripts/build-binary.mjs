/**
 * Builds dist/acaciahoist: one file that runs without node_modules. The bundle becomes the blob of
 * Node's single executable application format and is injected into a copy of this Node binary.
 */
import { execFileSync } from 'node:child_process';
import { chmodSync, copyFileSync, mkdirSync, statSync, writeFileSync } from 'node:fs';
import { build } from 'esbuild';

const FUSE = 'NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2';

mkdirSync('dist', { recursive: true });
await build({
  entryPoints: ['packages/cli/src/main.ts'],
  outfile: 'dist/acaciahoist.cjs',
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  // jsonc-parser's UMD build requires files that the bundle does not have.
  mainFields: ['module', 'main'],
  // Optional native parts of bunyan and hot-shots, which work without them, and the bundler, which only
  // benches in a checkout use.
  external: ['dtrace-provider', 'mv', 'source-map-support', 'unix-dgram', 'esbuild'],
  logLevel: 'error',
});
writeFileSync(
  'dist/sea-config.json',
  JSON.stringify({
    main: 'dist/acaciahoist.cjs',
    output: 'dist/acaciahoist.blob',
    disableExperimentalSEAWarning: true,
  }),
);
execFileSync(process.execPath, ['--experimental-sea-config', 'dist/sea-config.json'], {
  stdio: 'ignore',
});
copyFileSync(process.execPath, 'dist/acaciahoist');
chmodSync('dist/acaciahoist', 0o755);
const postject = [
  'node_modules/postject/dist/cli.js',
  'dist/acaciahoist',
  'NODE_SEA_BLOB',
  'dist/acaciahoist.blob',
];
execFileSync(process.execPath, [...postject, '--sentinel-fuse', FUSE], { stdio: 'ignore' });
console.log(`dist/acaciahoist ${(statSync('dist/acaciahoist').size / 1_048_576).toFixed(0)} MiB`);
