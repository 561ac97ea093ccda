import { test } from 'node:test';
import { expect } from 'earl';
import { findShapeFault } from './find-shape-fault.js';
import { replyShapes } from './reply-shapes.js';

function faultOf(type: keyof typeof replyShapes, body: unknown): string | undefined {
  const shape = replyShapes[type];
  return shape && findShapeFault(shape, body, type);
}

// Guards against a rolling restart in which the replies of the previous version fail their calls, and
// against a reply whose age cannot be counted with.
test('takes replies to read-log with an age, an unknown one and none', () => {
  const reply = { end: 7, records: [] };
  expect(faultOf('read-log', reply)).toEqual(undefined);
  expect(faultOf('read-log', { ...reply, ageMs: null, heldMs: 3 })).toEqual(undefined);
  expect(faultOf('read-log', { ...reply, ageMs: 12, heldMs: 3 })).toEqual(undefined);
  expect(faultOf('read-log', { ...reply, ageMs: 'young' })).not.toEqual(undefined);
  expect(faultOf('read-log', { ...reply, ageMs: Number.NaN })).not.toEqual(undefined);
});

// The same for the counts of waiting jobs.
test('takes replies to offer-help with an age of the counts, an unknown one and none', () => {
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
  expect(faultOf('offer-help', reply)).toEqual(undefined);
  expect(faultOf('offer-help', { ...reply, pendingAgeMs: null })).toEqual(undefined);
  expect(faultOf('offer-help', { ...reply, pendingAgeMs: 12 })).toEqual(undefined);
  expect(faultOf('offer-help', { ...reply, pendingAgeMs: 'young' })).not.toEqual(undefined);
});
