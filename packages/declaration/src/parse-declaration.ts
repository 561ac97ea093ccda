import type { Result } from 'true-myth/result';
import type { Declaration } from '@acaciahoist/types/declaration';
import { checkDeclarationRelations } from './check-declaration-relations.js';
import { checkSource } from './check-source.js';
import { declarationSchema } from './declaration-schema.js';
import type { Fault } from './fault.js';

/** Enough for about 2000 services with comments. */
const LIMIT = { characters: 1_048_576, tokens: 200_000, nesting: 12 };

/**
 * Parses and checks the text of a declaration, JSON with comments. Returns the declaration with all
 * defaults, or the faults in order of their location. `fileName` is only used in the faults.
 */
export function parseDeclaration(
  text: string,
  fileName: string,
): Result<Declaration, readonly Fault[]> {
  return checkSource(
    { text },
    fileName,
    LIMIT,
    () => declarationSchema,
    checkDeclarationRelations,
  ).map((value) => value as Declaration);
}
