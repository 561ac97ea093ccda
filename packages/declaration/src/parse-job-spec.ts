import type { Result } from 'true-myth/result';
import type { JobSpec } from '@acaciahoist/types/job-spec';
import { checkJobRelations } from './check-job-relations.js';
import { checkSource } from './check-source.js';
import type { Fault } from './fault.js';
import { jobSpecSchema } from './job-spec-schema.js';

const LIMIT = { characters: 65_536, tokens: 10_000, nesting: 8 };

/**
 * Checks a submitted job. A string is parsed as JSON with comments; any other value is checked as it
 * is, and its faults have line and column 0. Whether the user, team and services exist depends on the
 * declaration in force and is not checked here.
 */
export function parseJobSpec(source: unknown, fileName = 'job'): Result<JobSpec, readonly Fault[]> {
  return checkSource(
    typeof source === 'string' ? { text: source } : { value: source },
    fileName,
    LIMIT,
    () => jobSpecSchema,
    checkJobRelations,
  ).map((value) => value as JobSpec);
}
