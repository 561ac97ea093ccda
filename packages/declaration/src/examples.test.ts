import { readFileSync, readdirSync } from 'node:fs';
import { test } from 'node:test';
import { fileURLToPath } from 'node:url';
import { expect } from 'earl';
import type { Result } from 'true-myth/result';
import type { Fault } from './fault.js';
import { parseDeclaration } from './parse-declaration.js';
import { parseJobSpec } from './parse-job-spec.js';
import { parseSettings } from './parse-settings.js';
import { buildReferencePage } from './build-reference-page.js';

const root = fileURLToPath(new URL('../../../', import.meta.url));

function checkExamples(
  folder: string,
  count: number,
  parse: (text: string, file: string) => Result<unknown, readonly Fault[]>,
) {
  const files = readdirSync(`${root}examples/${folder}`);
  expect(files.length).toEqual(count);
  for (const file of files) {
    const result = parse(readFileSync(`${root}examples/${folder}/${file}`, 'utf8'), file);
    expect(result.isErr ? result.error : []).toEqual([]);
  }
}

test('the parsers accept every example file', () => {
  // Guards against an example that operators copy and the parsers reject, after a change of a schema.
  checkExamples('capsula', 1, parseDeclaration);
  checkExamples('luz-norte', 1, parseDeclaration);
  checkExamples('loopback', 4, parseSettings);
  checkExamples('jobs', 4, parseJobSpec);
});

test('the reference page docs/declaration.md agrees with the schemas', () => {
  // Guards against a page that was not regenerated after a change of a schema.
  expect(readFileSync(`${root}docs/declaration.md`, 'utf8')).toEqual(buildReferencePage());
});
