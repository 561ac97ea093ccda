import { createReadStream } from 'node:fs';
import { test } from 'node:test';
import { fileURLToPath } from 'node:url';
import { expect } from 'earl';
import { runCommandLine } from '../../run-command-line.js';

// These tests use fixed inputs and no seed.

/** Lines of two processes of a bench day on which the store failed from 2 to 6 s, 8 to 11 s and 14 to 17 s. */
const OUTAGE = fileURLToPath(new URL('fixtures/store-outage.txt', import.meta.url));

/** Runs the command on files with the given lines; other paths are read from the disk. */
async function explain(args: readonly string[], files: Record<string, readonly string[]> = {}) {
  let stdout = '';
  let stderr = '';
  const exitCode = await runCommandLine(['explain', ...args], {
    print: (text) => (stdout += text),
    printError: (text) => (stderr += text),
    readFile: () => Promise.reject(new Error('the command reads files in pieces')),
    readChunks: async function* (path) {
      const lines = files[path];
      if (lines === undefined) yield* createReadStream(path) as AsyncIterable<Uint8Array>;
      else yield Buffer.from(lines.join('\n'));
    },
    clock: { monotonicMs: () => 0, wallMs: () => 0, after: () => () => undefined },
  });
  const deciding = stdout.split('\n').filter((line) => line.startsWith('> '));
  return { exitCode, stdout, stderr, deciding };
}

// Guards against an explanation that names an earlier answer, or not the age of the data behind the answer.
test('a refused job is explained by its last refusal, the outage of the store and the age of the replica', async () => {
  const { exitCode, stdout, deciding } = await explain(['fee5ffe9e4b8c8b1', OUTAGE]);
  expect(exitCode).toEqual(0);
  expect(deciding).toEqual([
    '> 10.9133 frontend-cl-centro-c-2 event=job-not-accepted job=fee5ffe9e4b8c8b1 reason=refused storeSilentMs=2828 replicaAgeMs=2954',
  ]);
  expect(stdout).toInclude('storeSilentMs=2828 (duration of the outage of the store');
  expect(stdout).toInclude('replicaAgeMs=2954 (age of the replica');
  expect(stdout).toInclude('owner at that time: frontend-cl-centro-c-1 since -11.3205');
  // Both processes lost the store before the refusal; the return after it shows the end of the outage.
  for (const line of [
    '9.2958 frontend-cl-centro-c-1 event=cell-log-unavailable reason="the request timed out" ageMs=1333',
    '8.7943 frontend-cl-centro-c-2 event=cell-log-unavailable reason="status 503" ageMs=836',
    '11.0609 frontend-cl-centro-c-2 event=cell-log-available offset=2156',
  ])
    expect(stdout).toInclude(`  ${line}\n`);
  expect(stdout).toInclude('\n2 lines could not be read\n');
});

// Guards against an explanation that stops at the end of the job and does not say which run failed.
test('a failed job is explained by its end and the end of its last run', async () => {
  const { stdout, deciding } = await explain(['a8d5ca32af00b027', OUTAGE]);
  expect(deciding.join()).toInclude('event=job-ended job=a8d5ca32af00b027 outcome=failed');
  expect(stdout).toInclude(
    '  after the end of a run: 18.4399 frontend-cl-centro-c-1 event=run-ended task=a8d5ca32af00b027.0.0.0 run=2 worker=i-3836ee475a how=failed',
  );
});

// Guards against a late job that is explained by its end, which was the wanted one.
test('a late job is explained by the run that was lost, by the repeated refusal or by the longest wait', async () => {
  const lost = await explain(['da0fc485eb4f6585', OUTAGE]);
  expect(lost.deciding.join()).toInclude('how=lost reason=decision-too-old');
  const refused = await explain(['00071c736cd4e750', OUTAGE]);
  expect(refused.deciding.join()).toInclude('reason=refused storeSilentMs=3394');
  const waits = [1_100, 5_300, 2_200].map(
    (waitedMs, index) => `${index} f event=start-decided step=ab.0.${index} waitedMs=${waitedMs}`,
  );
  const waited = await explain(['ab', 'log'], {
    log: [...waits, '9 f event=job-ended job=ab outcome=completed'],
  });
  expect(waited.deciding.join()).toInclude('waitedMs=5300');
});

// Guards against taking a job that was removed after its retention time for one that was lost.
test('a job that is not known any more is explained with the time of the cell since its end', async () => {
  const log = [
    '15.7 f-1 event=job-ended job=ab outcome=completed cellTimeMs=26000',
    '140.9 f-2 event=job-unknown job=ab source=replica cellTimeMs=147121 offset=39800 replicaAgeMs=6',
  ];
  const { stdout, deciding } = await explain(['ab', 'log'], { log });
  expect(deciding.join()).toInclude('event=job-unknown');
  expect(stdout).toInclude('121121 ms of the time of the cell since the job ended');
});

// Guards against lines of the parts of a job, or of the job of a task, that are missed, and against lines of
// other jobs whose ids begin alike.
test('an id selects the lines of its parts, of what it is part of and of messages that name it', async () => {
  const log = [
    '1 f event=job-accepted job=ab',
    '2 f event=start-decided step=ab.0.0 worker=w-1',
    '3 f event=run-ended task=ab.0.0.1 worker=w-1 how=lost',
    '4 f event=run-ended task=ab.0.0.2 worker=w-2 how=lost',
    '5 f event=answer-timeout message="job ab is not stored."',
    '6 f event=job-accepted job=abc',
    '7 f event=answer-timeout message="job abc.d is not stored"',
  ];
  const select = async (id: string) => {
    const { stdout } = await explain(['--json', id, 'log'], { log });
    const { lines } = JSON.parse(stdout) as { lines: { time: string }[] };
    return lines.map((line) => line.time).join(' ');
  };
  expect(await select('ab')).toEqual('1 2 3 4 5');
  expect(await select('ab.0.0.1')).toEqual('1 2 3 5');
  expect(await select('w-1')).toEqual('2 3');
});

// Guards against an order by the clocks of the machines where the collector has one clock for all, and against
// an explanation by the owner of another time.
test('lines of several files are ordered by the time in front, and the owner is the one of the time of the decision', async () => {
  const files = {
    a: [
      '30 a time=2026-01-01T00:00:01Z event=owner-started process=a token=3',
      '12 a time=2026-01-01T00:00:02Z event=job-unknown process=a job=ab replicaAgeMs=9',
    ],
    b: [
      '1 b time=2026-01-01T00:00:09Z event=owner-started process=b token=1',
      '10 c time=2026-01-01T00:00:05Z event=owner-started process=c token=2',
      '11 b time=2026-01-01T00:00:06Z event=owner-stopped process=b token=1',
      '11.5 b time=2026-01-01T00:00:07Z event=job-accepted process=b job=ab',
    ],
  };
  const { stdout } = await explain(['--json', 'ab', 'a', 'b'], files);
  const { lines, owner, beliefs } = JSON.parse(stdout) as Record<string, { process: string }[]> & {
    owner: { process: string };
  };
  expect(lines?.map((line) => line.process)).toEqual(['b', 'a']);
  expect(owner.process).toEqual('c');
  expect(beliefs?.map((line) => line.process)).toEqual(['c']);
  // Without the time in front only the clocks of the machines are left.
  const bare = Object.values(files).map((texts) =>
    texts.map((text) => text.slice(text.indexOf('time='))),
  );
  const byClock = await explain(['ab', 'x', 'y'], { x: bare[0] ?? [], y: bare[1] ?? [] });
  expect(byClock.deciding.join()).toInclude('event=job-accepted');
});

// Guards against a process whose newest knowledge is hidden by older lines, or by lines of other parts.
test('the newest line of each lasting state is shown however old, and momentary ones only near the decision', async () => {
  const log = [
    '1 f event=cell-log-unavailable ageMs=1',
    '2 f event=cell-log-unavailable ageMs=2',
    '3 f event=worker-unreachable worker=w-1',
    '90 f event=worker-unreachable worker=w-2',
    '95 f event=worker-unreachable worker=w-1',
    '100 f event=run-ended task=ab.0.0.0 worker=w-1 how=lost',
    '100.5 f event=worker-reachable worker=w-1',
    '102 f event=cell-log-available',
    '95 other event=unexpected-error',
  ];
  const { stdout } = await explain(['--json', 'ab', 'log'], { log });
  const { beliefs } = JSON.parse(stdout) as { beliefs: { time: string }[] };
  expect(beliefs.map((line) => line.time)).toEqual(['2', '95', '100.5']);
});

// Guards against an explanation of a worker with very many lines that fills the memory or drops the newest ones.
test('of an id with very many lines the newest thousand are kept and the others are counted', async () => {
  const log = Array.from(
    { length: 5_000 },
    (_, index) => `${index} f event=start-decided step=ab.0 worker=w`,
  );
  const { stdout } = await explain(['--json', 'w', 'log'], { log: log.reverse() });
  const { lines, leftOutLines } = JSON.parse(stdout) as {
    lines: { time: string }[];
    leftOutLines: number;
  };
  expect(lines.length + leftOutLines).toEqual(5_000);
  expect([lines.length < 2_000, lines.at(-1)?.time, lines.at(-1_000)?.time]).toEqual([
    true,
    '4999',
    '4000',
  ]);
});

// Guards against a script that takes a mistyped id or path for a job without troubles.
test('the command explain fails with the codes of the error table for an unknown id, an unreadable file and no file', async () => {
  const unknown = await explain(['0123', 'log'], { log: ['1 f event=job-accepted job=ab', 'x'] });
  expect([unknown.exitCode, unknown.stdout]).toEqual([4, '']);
  expect(unknown.stderr).toInclude('no line names 0123');
  expect(unknown.stderr).toInclude('unreadableLines: 1');
  const unreadable = await explain(['ab', 'log', '/no-such-file'], {
    log: ['1 f event=alarm job=ab'],
  });
  expect([unreadable.exitCode, unreadable.stdout]).toEqual([2, '']);
  expect(unreadable.stderr).toInclude('cannot read /no-such-file');
  expect((await explain(['ab'])).exitCode).toEqual(2);
  const json = await explain(['--json', '0123', 'log'], { log: [] });
  const { error } = JSON.parse(json.stderr) as { error: { kind: string } };
  expect(error.kind).toEqual('not-found');
});
