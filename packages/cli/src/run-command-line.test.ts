import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { readFile } from 'node:fs/promises';
import { test } from 'node:test';
import { fileURLToPath } from 'node:url';
import { expect } from 'earl';
import { AccountBook } from '@acaciahoist/account';
import { mergePeriods } from '@acaciahoist/account/merge-periods';
import { reportJson } from '@acaciahoist/account/report-json';
import { reportText } from '@acaciahoist/account/report-text';
import { runCommandLine } from './run-command-line.js';

// These tests use fixed inputs and no seed.

// A server in the environment of the test run must not be called.
delete process.env.ACACIAHOIST_SERVER;
delete process.env.ACACIAHOIST_TOKEN;

const root = fileURLToPath(new URL('../../../', import.meta.url));

interface FixedResponse {
  status?: number;
  body: unknown;
}
/** Responses by method and path. `cut` closes the connection; the last response of a list is repeated. */
type FixedResponses = Readonly<Record<string, FixedResponse | 'cut' | (FixedResponse | 'cut')[]>>;

/** Runs a command line against a server with fixed responses and returns its output and its calls. */
async function run(
  args: readonly string[],
  fixedResponses: FixedResponses = {},
  files: Record<string, string> = {},
) {
  const calls: { call: string; token: string | undefined; body: unknown }[] = [];
  const server = createServer((request, response) => {
    void (async () => {
      let text = '';
      for await (const chunk of request) text += String(chunk);
      const call = `${request.method ?? ''} ${request.url ?? ''}`;
      const { authorization: token } = request.headers;
      calls.push({ call, token, body: text === '' ? undefined : JSON.parse(text) });
      const plannedResponses = [fixedResponses[call] ?? { status: 404, body: {} }].flat();
      const earlierCallCount = calls.filter((received) => received.call === call).length - 1;
      const plannedResponse =
        plannedResponses[Math.min(earlierCallCount, plannedResponses.length - 1)] ?? 'cut';
      if (plannedResponse === 'cut') request.socket.destroy();
      else {
        response.statusCode = plannedResponse.status ?? 200;
        response.end(JSON.stringify(plannedResponse.body));
      }
    })();
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const url = `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
  let stdout = '';
  let stderr = '';
  const exitCode = await runCommandLine(
    args.map((arg) => arg.replace('SERVER', url)),
    {
      print: (text) => (stdout += text),
      printError: (text) => (stderr += text),
      readFile: (path) => {
        const text = files[path];
        return text === undefined ? readFile(`${root}${path}`) : Promise.resolve(Buffer.from(text));
      },
      readChunks: () => {
        throw new Error('no command of these tests reads a file in pieces');
      },
      clock: {
        monotonicMs: () => 0,
        wallMs: () => 0,
        after: (_, callback) => {
          queueMicrotask(callback);
          return () => undefined;
        },
      },
    },
  );
  server.closeAllConnections();
  await new Promise((resolve) => server.close(resolve));
  return { exitCode, stdout, stderr, calls };
}

const serverArgs = ['--server', 'SERVER', '--token', 'example-operator-token'];

// Guards against a script that continues although one of several files is faulty.
test('the command check detects the kind of each file and ends with exit code 2 if one is faulty or unreadable', async () => {
  const good = await run([
    'check',
    'examples/capsula/declaration.jsonc',
    'examples/loopback/stand-in.jsonc',
    'examples/jobs/opening.jsonc',
  ]);
  expect(good.exitCode).toEqual(0);
  expect(good.stdout.split('\n').map((line) => line.split(' ')[1])).toEqual([
    'declaration',
    'settings',
    'job',
    undefined,
  ]);
  const files = { bad: '{ "family": "f", "x": { "role": 1 } }', deep: '['.repeat(100_000) };
  const bad = await run(['check', 'bad', 'deep', 'examples/jobs/opening.jsonc'], {}, files);
  expect(bad.exitCode).toEqual(2);
  expect(bad.stderr).toInclude('bad:1:18: x: the field "x" is unknown; use one of family');
  expect(bad.stderr).toInclude('deep:1:13: lists and records are nested');
  const missing = await run(['check', '--json', 'no-such-file']);
  expect(missing.exitCode).toEqual(2);
  expect(missing.stderr).toInclude('cannot read no-such-file');
});

// Guards against a script that mistakes wrong arguments for an internal error, which has exit code 1.
test('the command line prints help with examples and rejects wrong arguments with exit code 2', async () => {
  for (const name of ['check', 'apply', 'submit', 'status', 'cancel', 'dump']) {
    const help = await run([name, '--help']);
    expect(help.exitCode).toEqual(0);
    expect(help.stdout).toInclude(`acaciahoist ${name}`);
  }
  expect((await run(['status', 'job-17', ...serverArgs])).exitCode).toEqual(2);
  expect((await run(['statsu'])).exitCode).toEqual(2);
  const withoutServer = await run(['cancel', 'a.0:1']);
  expect(withoutServer.exitCode).toEqual(2);
  expect(withoutServer.stderr).toInclude('--server http://ip:port or set ACACIAHOIST_SERVER');
});

// Guards against losing a revision that another operator published in the meantime.
test('the command apply does not overwrite a revision that the operator has not read and rejects a layout change', async () => {
  const file = 'examples/luz-norte/declaration.jsonc';
  const text = await readFile(`${root}${file}`, 'utf8');
  const first = await run(['apply', file, ...serverArgs], {
    'GET /configuration': { body: { revision: 0, text: '' } },
    'POST /configuration': { body: { revision: 1 } },
  });
  expect([first.exitCode, first.stdout]).toEqual([0, 'revision 1 is published\n']);
  const token = 'Bearer example-operator-token';
  expect(first.calls[1]).toEqual({
    call: 'POST /configuration',
    token,
    body: { baseRevision: 0, text },
  });

  const inForce = { 'GET /configuration': { body: { revision: 6, text } } };
  const withoutBase = await run(['apply', file, ...serverArgs], inForce);
  expect([withoutBase.exitCode, withoutBase.calls.length]).toEqual([5, 1]);
  expect(withoutBase.stderr).toInclude('give --base 6');

  const details = { revision: 6, text: '{\n}' };
  const error = {
    kind: 'revision-conflict',
    message: 'revision 6 is in force',
    execution: 'not-run',
    details,
  };
  const withOldBase = await run(['apply', '--base', '5', file, ...serverArgs], {
    ...inForce,
    'POST /configuration': { status: 409, body: { error } },
  });
  expect(withOldBase.exitCode).toEqual(5);
  expect(withOldBase.stderr).toInclude('the work did not run\nrevision: 6\ntext:\n{\n}\n');

  const changedLayout = { layout: text.replace('"partitions": 2', '"partitions": 3') };
  const layout = await run(
    ['apply', '--base', '6', 'layout', ...serverArgs],
    inForce,
    changedLayout,
  );
  expect([layout.exitCode, layout.calls.length]).toEqual([2, 1]);
});

// Guards against a caller that submits a job again although the lost call may have been carried out.
test('the command submit does not send a faulty job and reports the execution as unknown when the response is lost', async () => {
  const file = 'examples/jobs/opening.jsonc';
  const unkeyed = (await readFile(`${root}${file}`, 'utf8')).replace(/"key": .*/, '');
  const faulty = await run(['submit', 'f', ...serverArgs], {}, { f: unkeyed });
  expect([faulty.exitCode, faulty.calls.length]).toEqual([2, 0]);
  const responses = {
    'POST /jobs': { body: { jobId: 'a.0:1', state: 'waiting', reason: 'no capacity' } },
  };
  const keyed = await run(['submit', '--key', 'k', 'f', ...serverArgs], responses, { f: unkeyed });
  expect(keyed.stdout).toEqual('job=a.0:1 state=waiting reason="no capacity"\n');
  expect((keyed.calls[0]?.body as { key: string }).key).toEqual('k');

  const unanswered = await run(['submit', '--json', file, ...serverArgs], { 'POST /jobs': 'cut' });
  expect(unanswered.exitCode).toEqual(8);
  expect(
    (JSON.parse(unanswered.stderr) as { error: { execution: string } }).error.execution,
  ).toEqual('unknown');
  const notConnected = await run(['submit', file, '--server', 'http://127.0.0.1:1']);
  expect(notConnected.exitCode).toEqual(7);
  expect(notConnected.stderr).toInclude('the work did not run; the command may be repeated');
});

// Guards against watching that ends at one lost connection, and against watching that never ends.
test('the command status --watch repeats failed calls, ends with the job and exits with the code of its outcome', async () => {
  const running = { jobId: 'a.0:1', state: 'running', reason: 'placed' };
  const ended = { jobId: 'a.0:1', state: 'ended', outcome: 'failed', reason: 'exit 1' };
  const watched = await run(['status', '--watch', 'a.0:1', ...serverArgs], {
    'GET /jobs/a.0:1?waitMs=20000&knownState=': [{ body: running }],
    'GET /jobs/a.0:1?waitMs=20000&knownState=running': ['cut', { body: running }, { body: ended }],
  });
  expect([watched.exitCode, watched.stdout]).toEqual([
    10,
    'job=a.0:1 state=running reason=placed\njob=a.0:1 state=ended outcome=failed reason="exit 1"\n',
  ]);
  const neverAnswered = await run(['status', '--watch', 'a.0:1', ...serverArgs], {
    'GET /jobs/a.0:1?waitMs=20000&knownState=': 'cut',
  });
  expect([neverAnswered.exitCode, neverAnswered.calls.length]).toEqual([7, 120]);
  const why = await run(['status', '--why', 'a.0:1', ...serverArgs], {
    'GET /jobs/a.0:1/why': { body: { reason: 'quota of aurora is used', freeMillicores: 100 } },
  });
  expect(why.stdout).toEqual('quota of aurora is used\n  freeMillicores: 100\n');
});

// Guards against a changed report that a script accepts because of its exit code.
test('the command account verify exits with 1 for a changed report, with and without a server', async () => {
  const book = AccountBook.create('a.0');
  const amounts = { count: 2, waitMs: 3, millicoreMs: 2n ** 60n, memoryMibMs: 0n };
  book.add({ user: 'u', team: 't', outcome: 'completed', ...amounts }, 0, 'month');
  const report = mergePeriods('1970-01', ['a.0'], book.close('1970-01')).unwrapOrElse(() => {
    throw new Error('no report');
  });
  const text = reportText(report);
  const responses = { 'GET /account?period=1970-01': { body: reportJson(report) } };
  const reportOutput = await run(
    ['account', 'show', '--period', '1970-01', ...serverArgs],
    responses,
  );
  expect(reportOutput.stdout).toEqual(text);
  const files = {
    good: text,
    bad: text.replace('completed=2', 'completed=3'),
    rows: JSON.stringify(reportJson(report)),
  };
  expect(
    (await run(['account', 'verify', 'good', ...serverArgs], responses, files)).exitCode,
  ).toEqual(0);
  expect((await run(['account', 'verify', 'good', '--rows', 'rows'], {}, files)).exitCode).toEqual(
    0,
  );
  for (const source of [serverArgs, ['--rows', 'rows']]) {
    const bad = await run(['account', 'verify', 'bad', ...source], responses, files);
    expect(bad.exitCode).toEqual(1);
    expect(bad.stderr).toInclude('bad:6: the line differs from the account\n');
  }
});
