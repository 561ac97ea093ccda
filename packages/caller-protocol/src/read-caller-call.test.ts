import { test } from 'node:test';
import { expect } from 'earl';
import fc from 'fast-check';
import Result from 'true-myth/result';
import type { JobSpec } from '@acaciahoist/types/job-spec';
import { findByToken } from './find-by-token.js';
import { readCallerCall } from './read-caller-call.js';

const options = { parseJobSpec: (value: unknown) => Result.ok<JobSpec>(value as JobSpec) };
const seed = Number(process.env.SEED ?? 20_261_204);
console.log(`caller-protocol seed ${seed}`);

test('the reader of caller calls returns the key and the deadline of a service request', () => {
  const call = readCallerCall(
    {
      method: 'POST',
      target: '/services/registry',
      headers: { 'idempotency-key': 'k1', 'x-deadline-ms': '500' },
      body: new Uint8Array([1]),
    },
    options,
  );
  expect(
    call.isOk && call.value.type === 'request' && [call.value.key, call.value.deadlineMs],
  ).toEqual(['k1', 500]);
});

// Guards against an exception or an untyped failure on hostile input, such as a malformed escape sequence in
// the path or a header that is not a number.
test('the reader of caller calls returns a call or a typed failure for any HTTP request', () => {
  fc.assert(
    fc.property(
      fc.constantFrom('GET', 'POST', 'DELETE', 'PUT'),
      fc.oneof(
        fc.webPath(),
        fc.constantFrom('/jobs', '/jobs/%', '/services/a', '/configuration', '//'),
      ),
      fc.uint8Array(),
      fc.dictionary(fc.constantFrom('x-deadline-ms', 'idempotency-key'), fc.string()),
      (method, target, body, headers) => {
        const call = readCallerCall({ method, target, headers, body }, options);
        if (call.isErr) expect(['bad-request', 'not-found']).toInclude(call.error.kind);
      },
    ),
    { seed },
  );
});

// Guards against access with a part of a token or without the scheme `Bearer`.
test('the token lookup finds an entry only by its exact token', () => {
  const entries = [{ token: 'alpha' }, { token: 'beta' }];
  expect(findByToken(entries, 'Bearer beta')).toEqual({ token: 'beta' });
  expect(findByToken(entries, 'Bearer bet')).toEqual(undefined);
  expect(findByToken(entries, 'beta')).toEqual(undefined);
  expect(findByToken(entries, undefined)).toEqual(undefined);
});
