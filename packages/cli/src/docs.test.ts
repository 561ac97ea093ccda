import { createReadStream, existsSync, readFileSync, readdirSync } from 'node:fs';
import { dirname, join } from 'node:path';
import { test } from 'node:test';
import { fileURLToPath } from 'node:url';
import { expect } from 'earl';
import { answers } from '@acaciahoist/errors/answers';
import { WaitReason } from '@acaciahoist/cell-planner/wait-reason';
import type { CommandIo } from './command-io.js';
import { checkFile } from './commands/check/check-file.js';
import { runCommandLine } from './run-command-line.js';

// These tests use fixed inputs and no seed.

// A server in the environment of the test run must not be called.
delete process.env.ACACIAHOIST_SERVER;
delete process.env.ACACIAHOIST_TOKEN;

const root = fileURLToPath(new URL('../../../', import.meta.url));
const pages = [
  'README.md',
  ...readdirSync(join(root, 'docs'))
    .filter((file) => file.endsWith('.md'))
    .map((file) => `docs/${file}`),
];
const readRepositoryFile = (file: string) => readFileSync(join(root, file), 'utf8');

/** Lists the contents of the fenced code blocks in one language. */
function listCodeBlocks(text: string, language: string): string[] {
  const blocks = text.matchAll(/^```(\w*)\n([\s\S]*?)^```$/gm);
  return [...blocks].filter((match) => match[1] === language).map((match) => match[2] ?? '');
}

/** Lists the command lines of the program in the shell examples, without redirections, pipes and comments. */
function listCommandLines(page: string): string[][] {
  const programCall = /^(?:acaciahoist|node --import tsx packages\/cli\/src\/main\.ts) (?!\()/;
  return listCodeBlocks(page, 'sh')
    .flatMap((block) => block.split('\n'))
    .filter((line) => programCall.test(line))
    .map((line) => line.replace(programCall, '').split(/ (?:[>|&#]|2>)/)[0] ?? '')
    .map((line) => line.replaceAll('"$JOB"', 'north-1.0:17').trim().split(/ +/));
}

const ioWithoutFiles: CommandIo = {
  print: () => undefined,
  printError: () => undefined,
  readFile: () => Promise.reject(new Error('no file can be read here')),
  readChunks: () => {
    throw new Error('no file can be read here');
  },
  clock: { monotonicMs: () => 0, wallMs: () => 0, after: () => () => undefined },
};

/** Runs a command line without a server and with unreadable files, so that it only checks its arguments. */
async function runWithoutServer(args: readonly string[]): Promise<string> {
  const serverIndex = args.indexOf('--server');
  if (serverIndex >= 0)
    expect(args[serverIndex + 1] ?? '').toMatchRegex(/^http:\/\/127\.0\.0\.1:\d+$/);
  const argsWithoutServer = args.filter(
    (_, index) => serverIndex < 0 || (index !== serverIndex && index !== serverIndex + 1),
  );
  let output = '';
  await runCommandLine(argsWithoutServer, {
    ...ioWithoutFiles,
    print: (text) => (output += text),
    printError: (text) => (output += text),
  });
  return output;
}

/** Errors of `runWithoutServer` that appear only after the arguments were accepted. */
const ACCEPTED_ARGUMENTS = /no server; give --server|no file can be read here/;

test('the program accepts the command lines in README.md and docs/operators.md', async () => {
  // Guards against examples in the pages that fail because an option was changed in the code only.
  for (const page of ['README.md', 'docs/operators.md']) {
    const lines = listCommandLines(readRepositoryFile(page));
    expect(lines.length).toBeGreaterThan(4);
    for (const line of lines) expect(await runWithoutServer(line)).toMatchRegex(ACCEPTED_ARGUMENTS);
    const scripts = (
      JSON.parse(readRepositoryFile('package.json')) as { scripts: Record<string, string> }
    ).scripts;
    for (const [, name = ''] of readRepositoryFile(page).matchAll(/npm run ([\w:-]+)/g))
      expect(Object.keys(scripts)).toInclude(name);
  }
  // The check must reject a command line with a wrong option.
  expect(ACCEPTED_ARGUMENTS.test(await runWithoutServer(['apply', '--bass', '1', 'file']))).toEqual(
    false,
  );
});

test('the program accepts the command lines of docs/OPERATIONS.md, which names every reason why a step waits', async () => {
  // Guards against an operator who meets an option or a reason that the page does not have.
  const text = readRepositoryFile('docs/OPERATIONS.md');
  const lines = listCommandLines(text);
  expect(lines.length).toBeGreaterThan(2);
  for (const line of lines) expect(await runWithoutServer(line)).toMatchRegex(ACCEPTED_ARGUMENTS);
  for (const reason of Object.values(WaitReason)) expect(text).toInclude(`\`${reason}\``);
});

test('the program prints the explanations of jobs that docs/OPERATIONS.md shows', async () => {
  // Guards against examples in the page that no longer match the output of the program.
  const folder = join(root, 'packages/cli/src/commands/explain/fixtures');
  const fixtures = readdirSync(folder).map((file) => join(folder, file));
  const examples = listCodeBlocks(readRepositoryFile('docs/OPERATIONS.md'), '')
    .map((block) => block.trimEnd().split('\n'))
    .filter(([first = '']) => first.startsWith('$ acaciahoist explain '));
  expect(examples.length).toBeGreaterThan(3);
  for (const [first = '', ...shownLines] of examples) {
    const [, , , id = '', file] = first.split(' ');
    expect(file).toEqual('all.txt');
    // Each fixture is an excerpt of the log of one run.
    const fixture = fixtures.find((path) => readFileSync(path, 'utf8').includes(id)) ?? '';
    let output = '';
    const exitCode = await runCommandLine(['explain', id, fixture], {
      ...ioWithoutFiles,
      print: (text) => (output += text),
      readChunks: (path) => createReadStream(path) as AsyncIterable<Uint8Array>,
    });
    expect(exitCode).toEqual(0);
    const printedLines = output.split('\n');
    for (const line of shownLines.filter((shown) => shown !== '...')) {
      const index = printedLines.indexOf(line);
      expect([line, index >= 0]).toEqual([line, true]);
      printedLines.splice(0, index + 1);
    }
  }
});

test('the error table in docs/callers.md equals the table in the code', () => {
  // Guards against callers that retry wrongly because the page was not changed with the code.
  const row =
    /^\| `([a-z-]+)` \| (\d+) \| (not-run|ran|unknown) \| (yes|no) \| (\d+) \| \S.* \|$/gm;
  const rows = [...readRepositoryFile('docs/callers.md').matchAll(row)].map(
    ([, kind, status, execution, repeatable, exitCode]) => [
      kind,
      {
        httpStatus: Number(status),
        execution,
        repeatable: repeatable === 'yes',
        exitCode: Number(exitCode),
      },
    ],
  );
  expect(rows).toEqual(Object.entries(answers));
});

test('the parsers accept the declaration, settings and job examples in the pages', () => {
  // Guards against examples in the pages that are faulty because a schema was changed in the code only.
  const examples = pages.flatMap((page) => listCodeBlocks(readRepositoryFile(page), 'jsonc'));
  expect(examples.length).toBeGreaterThan(1);
  for (const text of examples) expect(checkFile(text, 'example', undefined).faults).toEqual([]);
});

for (const page of pages) {
  test(`the links and file names in ${page} lead to existing files`, () => {
    const text = readRepositoryFile(page);
    const links = [...text.matchAll(/\]\(([^)#\s]+)[^)]*\)/g)]
      .map(([, link = '']) => link)
      .filter((link) => !/^https?:/.test(link))
      .map((link) => join(dirname(page), link));
    const names =
      text.match(/(?<![\w/.-])(?:docs|examples|scripts|packages)\/[\w./-]*[\w/]/g) ?? [];
    if (page === 'README.md') expect(links.length + names.length).toBeGreaterThan(20);
    expect([...links, ...names].filter((name) => !existsSync(join(root, name)))).toEqual([]);
  });
}
