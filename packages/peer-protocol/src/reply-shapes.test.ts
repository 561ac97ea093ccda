import { test } from 'node:test';
import { expect } from 'earl';
import { findShapeError } from '@acaciahoist/types/find-shape-error';
import { replyShapes } from './reply-shapes.js';

function findReplyError(type: keyof typeof replyShapes, body: unknown): string | undefined {
  const shape = replyShapes[type];
  return shape && findShapeError(shape, body, type);
}

// Guards against failed calls during a rolling restart, when replies of the previous version lack a
// field, and against ages that are not finite numbers.
test('the shape of read-log accepts a known, an unknown and an absent age and rejects an invalid one', () => {
  const reply = { end: 7, records: [] };
  expect(findReplyError('read-log', reply)).toEqual(undefined);
  expect(findReplyError('read-log', { ...reply, ageMs: null, heldMs: 3 })).toEqual(undefined);
  expect(findReplyError('read-log', { ...reply, ageMs: 12, heldMs: 3 })).toEqual(undefined);
  expect(findReplyError('read-log', { ...reply, ageMs: 'young' })).not.toEqual(undefined);
  expect(findReplyError('read-log', { ...reply, ageMs: Number.NaN })).not.toEqual(undefined);
});

// Guards against failed calls during a rolling restart, when replies of the previous version lack the age of
// the pending counts, and against an age that is not a number.
test('the shape of offer-help accepts a known, an unknown and an absent age of pending counts and rejects an invalid one', () => {
  const reply = {
    life: 'o/1',
    storeSilentMs: 0,
    largestCores: 1,
    loopDelayMs: 0,
    claim: null,
    standbys: [],
    others: [],
    isStandby: null,
    pending: [['q', 14]],
  };
  expect(findReplyError('offer-help', reply)).toEqual(undefined);
  expect(findReplyError('offer-help', { ...reply, pendingAgeMs: null })).toEqual(undefined);
  expect(findReplyError('offer-help', { ...reply, pendingAgeMs: 12 })).toEqual(undefined);
  expect(findReplyError('offer-help', { ...reply, pendingAgeMs: 'young' })).not.toEqual(undefined);
});
