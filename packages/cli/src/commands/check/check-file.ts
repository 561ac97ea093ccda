import { createScanner } from 'jsonc-parser';
import type { Result } from 'true-myth/result';
import { parseDeclaration } from '@acaciahoist/declaration';
import type { Fault } from '@acaciahoist/declaration/fault';
import { parseJobSpec } from '@acaciahoist/declaration/parse-job-spec';
import { parseSettings } from '@acaciahoist/declaration/parse-settings';
import type { fileKinds } from './file-kinds.js';

type FileKind = (typeof fileKinds)[number];

const parsers: Readonly<
  Record<FileKind, (text: string, file: string) => Result<unknown, readonly Fault[]>>
> = { declaration: parseDeclaration, settings: parseSettings, job: parseJobSpec };

/** Token codes of jsonc-parser, whose `const enum` cannot be used with `isolatedModules`. */
const TOKEN = { openBrace: 1, closeBrace: 2, openBracket: 3, closeBracket: 4, colon: 6, end: 17 };
/** Number of field names after which the kind is decided without reading the rest of the text. */
const MAX_FIELD_NAMES = 1000;

/** Checks a text as the given kind, or as the kind detected from its field names. */
export function checkFile(
  text: string,
  file: string,
  givenKind: FileKind | undefined,
): { kind: FileKind; faults: readonly Fault[] } {
  const kind = givenKind ?? detectKind(text);
  const result = parsers[kind](text, file);
  return { kind, faults: result.isErr ? result.error : [] };
}

/** Detects the kind by field names that only settings or only jobs have. */
function detectKind(text: string): FileKind {
  const names = listOutermostFieldNames(text);
  if (names.has('role') || names.has('peerListen')) return 'settings';
  return names.has('family') || names.has('groups') ? 'job' : 'declaration';
}

/**
 * Lists the field names of the outermost object. It scans the tokens, since the parser of jsonc-parser is
 * recursive and a deeply nested file could overflow the stack.
 */
function listOutermostFieldNames(text: string): ReadonlySet<string> {
  const names = new Set<string>();
  const scanner = createScanner(text, true);
  let depth = 0;
  let lastTokenText = '';
  for (let token: number = scanner.scan(); token !== TOKEN.end; token = scanner.scan()) {
    if (token === TOKEN.openBrace || token === TOKEN.openBracket) depth += 1;
    if (token === TOKEN.closeBrace || token === TOKEN.closeBracket) depth -= 1;
    if (token === TOKEN.colon && depth === 1) names.add(lastTokenText);
    lastTokenText = scanner.getTokenValue();
    if (names.size > MAX_FIELD_NAMES) break;
  }
  return names;
}
