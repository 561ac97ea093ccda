/**
 * Runs all tests and prints a closing line of counts. Files named *.alone.test.ts run after all others, one at a
 * time. A failing test counts as known only when KNOWN-RED.txt lists exactly its file and name, and excuses the
 * message of the failure; those tests are run
 * and printed.
 */
import { spawnSync } from 'node:child_process';
import { existsSync, mkdtempSync, readFileSync, readdirSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join, relative } from 'node:path';
import { KnownFailures } from './known-failures.mjs';

function listTestFiles() {
  const found = [];
  const visit = (folder) => {
    for (const entry of readdirSync(folder, { withFileTypes: true })) {
      if (entry.name === 'node_modules' || entry.name === 'dist') continue;
      const path = join(folder, entry.name);
      if (entry.isDirectory()) visit(path);
      else if (/\.test\.(ts|mjs)$/.test(entry.name)) found.push(path);
    }
  };
  for (const root of ['packages', 'platform', 'lint']) if (existsSync(root)) visit(root);
  return found.sort();
}

// Read before the tests run, so that a malformed list fails at once.
const known = KnownFailures.parse(
  existsSync('KNOWN-RED.txt') ? readFileSync('KNOWN-RED.txt', 'utf8') : '',
);
const wanted = process.argv.slice(2);
const files = listTestFiles().filter(
  (file) => wanted.length === 0 || wanted.some((part) => file.includes(part)),
);
const scratch = mkdtempSync(join(tmpdir(), 'acaciahoist-tests-'));

/**
 * Runs test files, up to `concurrency` at the same time, and returns the results and how the runner ended. A test or
 * a file that hangs for `timeoutMs` fails instead of holding up the run.
 */
function runFiles(files, concurrency, timeoutMs) {
  if (files.length === 0) return { results: [], status: 0, signal: null };
  const resultsFile = join(scratch, 'results.jsonl');
  rmSync(resultsFile, { force: true });
  const { status, signal } = spawnSync(
    process.execPath,
    [
      '--import',
      'tsx',
      '--test',
      `--test-concurrency=${concurrency}`,
      `--test-timeout=${timeoutMs}`,
      '--test-reporter=spec',
      '--test-reporter-destination=stdout',
      '--test-reporter=./scripts/failure-reporter.mjs',
      `--test-reporter-destination=${resultsFile}`,
      ...files,
    ],
    { stdio: ['ignore', 'inherit', 'inherit'] },
  );
  const lines = existsSync(resultsFile) ? readFileSync(resultsFile, 'utf8').split('\n') : [];
  const results = lines.filter(Boolean).map((line) => JSON.parse(line));
  return { results, status, signal };
}

const isAlone = (file) => file.endsWith('.alone.test.ts');
const runs = [
  runFiles(
    files.filter((file) => !isAlone(file)),
    4,
    120_000,
  ),
  // These tests start processes and check their memory, which other load would disturb. Each test sets a time limit
  // of its own; that of the runner is for the file.
  ...files.filter(isAlone).map((file) => runFiles([file], 1, 900_000)),
];
const results = runs.flatMap((run) => run.results);
rmSync(scratch, { recursive: true, force: true });

const label = (result) => `${relative(process.cwd(), result.file ?? 'unknown')} :: ${result.name}`;
const failures = results.filter((result) => result.result === 'test:fail');
const isExcused = (result) => known.isExcused(label(result), result.message ?? '');
const expected = failures.filter(isExcused);
const unexpected = failures.filter((result) => !isExcused(result));
for (const result of expected) console.log(`known red: ${label(result)}`);
for (const result of unexpected) {
  console.log(`failed: ${label(result)}`);
  if (known.lists(label(result)))
    console.log(`  KNOWN-RED.txt lists it, but does not excuse the message: ${result.message}`);
}
for (const name of known.labels()) {
  if (results.some((result) => result.result === 'test:pass' && label(result) === name)) {
    console.log(`listed in KNOWN-RED.txt but passed: ${name}`);
  }
}
const passed = results.length - failures.length;
// A runner that failed without a failed test (a crash while loading) must not count as a pass.
const crashes = runs.filter(
  (run) => run.status !== 0 && !run.results.some((result) => result.result === 'test:fail'),
);
for (const { status, signal } of crashes)
  console.log(`failed: the test runner ended with ${status ?? signal}`);
const failed = unexpected.length + crashes.length;
console.log(`${passed} passed, ${failed} failed, ${expected.length} skipped`);
process.exit(failed > 0 || passed === 0 ? 1 : 0);
