import type { Answer } from './answer.js';
import type { ErrorKind } from './error-kind.js';
import { Execution } from './execution.js';

const { notRun, unknown } = Execution;

/** The table of error kinds: HTTP status, whether the work ran, whether it may be repeated, exit code. */
export const answers: Readonly<Record<ErrorKind, Answer>> = {
  'bad-request': { httpStatus: 400, execution: notRun, repeatable: false, exitCode: 2 },
  'bad-declaration': { httpStatus: 422, execution: notRun, repeatable: false, exitCode: 2 },
  forbidden: { httpStatus: 403, execution: notRun, repeatable: false, exitCode: 3 },
  'not-found': { httpStatus: 404, execution: notRun, repeatable: false, exitCode: 4 },
  'unknown-job': { httpStatus: 410, execution: notRun, repeatable: false, exitCode: 4 },
  'revision-conflict': { httpStatus: 409, execution: notRun, repeatable: false, exitCode: 5 },
  'never-runnable': { httpStatus: 422, execution: notRun, repeatable: false, exitCode: 6 },
  'quota-exceeded': { httpStatus: 429, execution: notRun, repeatable: true, exitCode: 6 },
  overloaded: { httpStatus: 503, execution: notRun, repeatable: true, exitCode: 7 },
  'log-unavailable': { httpStatus: 503, execution: notRun, repeatable: true, exitCode: 7 },
  'append-unknown': { httpStatus: 504, execution: unknown, repeatable: true, exitCode: 8 },
  'owner-unreachable': { httpStatus: 503, execution: notRun, repeatable: true, exitCode: 7 },
  'key-unreachable': { httpStatus: 503, execution: unknown, repeatable: true, exitCode: 8 },
  'not-owner': { httpStatus: 503, execution: notRun, repeatable: true, exitCode: 7 },
  'deadline-exceeded': { httpStatus: 504, execution: notRun, repeatable: true, exitCode: 7 },
  'endpoint-failed': { httpStatus: 502, execution: unknown, repeatable: true, exitCode: 8 },
  'outcome-unknown': { httpStatus: 504, execution: unknown, repeatable: false, exitCode: 8 },
  'key-conflict': { httpStatus: 409, execution: notRun, repeatable: false, exitCode: 5 },
  cancelled: { httpStatus: 410, execution: unknown, repeatable: false, exitCode: 9 },
  'not-ready': { httpStatus: 503, execution: notRun, repeatable: true, exitCode: 7 },
  stale: { httpStatus: 409, execution: notRun, repeatable: false, exitCode: 5 },
  internal: { httpStatus: 500, execution: unknown, repeatable: false, exitCode: 1 },
};
