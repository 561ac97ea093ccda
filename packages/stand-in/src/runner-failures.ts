/**
 * Responses of a runner to requests that it has begun and not served, by outcome. They are the runner's own and carry
 * no `error` object of acaciahoist: a caller would read its `kind` as a promise of an entry process, such as that the
 * work has not run.
 */
export const runnerFailures = {
  deadline: { status: 504, text: 'the request was stopped at its deadline' },
  failed: { status: 500, text: 'the fault "fail" is set' },
} as const;
