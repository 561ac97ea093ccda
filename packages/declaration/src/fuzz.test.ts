import { readFileSync } from 'node:fs';
import { test } from 'node:test';
import { expect } from 'earl';
import fc from 'fast-check';
import type { Result } from 'true-myth/result';
import type { Fault } from './fault.js';
import { parseDeclaration } from './parse-declaration.js';
import { parseJobSpec } from './parse-job-spec.js';
import { parseSettings } from './parse-settings.js';

type Parse = (text: string, file: string) => Result<unknown, readonly Fault[]>;

/** Fixed, so that every run generates the same inputs; set SEED to generate others. */
const seed = Number(process.env.SEED ?? 20_261_204);
/** Ends a test that hangs, in ms; far longer than a normal run. */
const timeout = 60_000;

const readExample = (file: string) =>
  readFileSync(new URL(`../../../examples/${file}`, import.meta.url), 'utf8');
const samples: readonly [string, Parse][] = [
  [readExample('luz-norte/declaration.jsonc'), parseDeclaration],
  [readExample('loopback/entry-1.jsonc'), parseSettings],
  [readExample('loopback/stand-in.jsonc'), parseSettings],
  [readExample('jobs/forecast-gang.jsonc'), parseJobSpec],
];

const fragment = fc.oneof(
  fc.string({ unit: 'binary', maxLength: 12 }),
  fc.constantFrom(
    '{',
    '}',
    '[',
    ']',
    ',',
    ':',
    '"',
    '//',
    '/*',
    '\\u',
    '-0',
    '1e999',
    '"__proto__":',
    '\r',
    '\u2028',
  ),
  fc.constantFrom('null', 'true', '2.5', '"5s"', '{"a":1}', '9007199254740993', '[[[[[[[[[[[[[[[['),
);
const edit = fc.record({
  position: fc.double({ min: 0, max: 1, noNaN: true }),
  removed: fc.nat(30),
  inserted: fragment,
});

function mutate(
  text: string,
  edits: readonly { position: number; removed: number; inserted: string }[],
) {
  return edits.reduce((current, { position, removed, inserted }) => {
    const start = Math.floor(position * current.length);
    return current.slice(0, start) + inserted + current.slice(start + removed);
  }, text);
}

function checkResult(text: string, parse: Parse) {
  const result = parse(text, 'fuzz');
  if (result.isOk) {
    // An accepted value, with its defaults, is accepted again and stays the same.
    const reparsed = parse(JSON.stringify(result.value), 'again');
    expect(reparsed.isOk && reparsed.value).toEqual(result.value);
    return;
  }
  expect(result.error.length > 0 && result.error.length <= 101).toEqual(true);
  const lines = text.split(/\r\n|\n|\r/);
  for (const { line, column, problem, correction } of result.error) {
    expect(column >= 1 && column <= (lines[line - 1]?.length ?? -1) + 1).toEqual(true);
    expect(problem.length > 0 && problem.length + correction.length < 1500).toEqual(true);
  }
}

test(
  'the parsers neither throw nor hang on malformed texts and report locations within the text',
  { timeout },
  (t) => {
    t.diagnostic(`seed ${seed}`);
    const mutated = fc.property(
      fc.constantFrom(...samples),
      fc.array(edit, { minLength: 0, maxLength: 5 }),
      ([text, parse], edits) => {
        checkResult(mutate(text, edits), parse);
      },
    );
    fc.assert(mutated, { seed, numRuns: 1500 });
    const arbitrary = fc.property(
      fc.constantFrom(...samples),
      fc.array(fragment),
      ([, parse], pieces) => {
        checkResult(pieces.join(''), parse);
      },
    );
    fc.assert(arbitrary, { seed, numRuns: 500 });
  },
);

test('the job parser does not throw for values that JSON cannot represent', { timeout }, (t) => {
  t.diagnostic(`seed ${seed}`);
  const valid = parseJobSpec(samples[3]?.[0] ?? '').unwrapOr({});
  const anything = fc.anything({
    withBigInt: true,
    withDate: true,
    withMap: true,
    withNullPrototype: true,
    withSparseArray: true,
  });
  const fields = fc.dictionary(fc.constantFrom('__proto__', 'x', ...Object.keys(valid)), anything, {
    maxKeys: 3,
  });
  const property = fc.property(
    fc.oneof(
      anything,
      fields.map((changed) => ({ ...valid, ...changed })),
    ),
    (value) => {
      const result = parseJobSpec(value);
      expect(result.isOk || (result.error.length > 0 && result.error.length <= 101)).toEqual(true);
    },
  );
  fc.assert(property, { seed, numRuns: 1500 });
  const cyclic: Record<string, unknown> = { ...valid };
  cyclic.groups = [cyclic, cyclic];
  // The nesting limit ends the conversion of a cyclic value before the size limit does.
  const problems = parseJobSpec(cyclic).match({ Ok: () => [], Err: (faults) => faults });
  expect(problems.map(({ path }) => path)).toInclude('groups[0].groups');
  const zero = parseJobSpec({ ...valid, startAtMs: -0 }).unwrapOr({ startAtMs: -1 });
  expect(Object.is(zero.startAtMs, 0)).toEqual(true);
  expect(parseJobSpec({ ...valid, groups: new Array(1e9) }).isErr).toEqual(true);
});

test(
  'the declaration parser rejects long repetitions of brackets without overflowing the stack',
  { timeout },
  (t) => {
    t.diagnostic(`seed ${seed}`);
    const token = fc.constantFrom('[', ']', '{', '}', ',', ':', '"a":', '1', '"', '\n');
    const pattern = fc
      .array(token, { minLength: 1, maxLength: 7 })
      .map((tokens) => tokens.join(''));
    const property = fc.property(fc.constantFrom('', '[', '{"a":'), pattern, (start, repeated) => {
      expect(parseDeclaration(start + repeated.repeat(15_000), 'x').isErr).toEqual(true);
    });
    // These two would overflow the stack of the parser if any closing bracket ended a level of nesting.
    const examples: [string, string][] = [
      ['', '[},'],
      ['', '{"a":1],"b":'],
    ];
    fc.assert(property, { seed, numRuns: 60, examples });
  },
);

test(
  'the declaration parser rejects large texts with a bounded list of faults',
  { timeout },
  () => {
    const size = 1_048_576;
    const texts = ['[', '{"a":', '[],', '"":1,', '}', ':', '/*', '\\u', '\n'].map((part) =>
      `{"services":[${part.repeat(size / part.length)}`.slice(0, size),
    );
    // Within the limit of tokens, but nested so deeply that the recursive parser would overflow the stack.
    const deeplyNested = '['.repeat(150_000);
    for (const text of [deeplyNested, ...texts, `${texts[0] ?? ''}x`]) {
      const result = parseDeclaration(text, 'large');
      expect(result.isErr && result.error.length <= 101).toEqual(true);
    }
  },
);
