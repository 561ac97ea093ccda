import type Result from 'true-myth/result';
import type { Failure } from '@acaciahoist/errors';
import { answers } from '@acaciahoist/errors/answers';
import type { HttpResponse } from '@acaciahoist/types/http-response';

/** Converts a result into an HTTP response. The table of error kinds determines the response to a failure. */
export function writeResponse(result: Result<unknown, Failure>, status = 200): HttpResponse {
  if (result.isOk) return createJsonResponse(status, result.value);
  const { kind, message, details } = result.error;
  const tableEntry = answers[kind];
  return createJsonResponse(tableEntry.httpStatus, {
    error: {
      kind,
      message,
      execution: tableEntry.execution,
      repeatable: tableEntry.repeatable,
      details,
    },
  });
}

function createJsonResponse(status: number, value: unknown): HttpResponse {
  return {
    status,
    headers: { 'content-type': 'application/json' },
    body: new TextEncoder().encode(`${JSON.stringify(value)}\n`),
  };
}
