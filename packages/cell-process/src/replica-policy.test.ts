import { test } from 'node:test';
import { expect } from 'earl';
import { ManualClock } from '@acaciahoist/clock/manual-clock';
import { ReplicaPolicy } from './replica-policy.js';

const inContact = { contactAgeMs: 0, isOwning: false, isOutranked: false };

// Guards against a process that drops its replica during a change of owners, when the choice of standbys
// changes for a short time and the replica may be needed most.
test('the replica policy drops the replica only after the process was not chosen for a while', () => {
  const clock = ManualClock.create();
  const policy = ReplicaPolicy.create(clock);
  policy.setChosen(false);
  clock.advance(1_000);
  expect(policy.decide(inContact)).toEqual(true);
  policy.setChosen(true);
  policy.setChosen(false);
  clock.advance(1_900);
  expect(policy.decide(inContact)).toEqual(true);
  clock.advance(200);
  expect(policy.decide(inContact)).toEqual(false);
  policy.setChosen(true);
  expect(policy.decide(inContact)).toEqual(true);
});

// Guards against clients that no process can answer because the owner and all standbys have ended.
test('the replica policy holds a replica when no process with one answers, on large machines first', () => {
  const clock = ManualClock.create();
  const policy = ReplicaPolicy.create(clock);
  policy.startWithoutReplica();
  expect(policy.decide(inContact)).toEqual(false);
  expect(policy.decide({ ...inContact, contactAgeMs: 2_000, isOutranked: true })).toEqual(false);
  expect(policy.decide({ ...inContact, contactAgeMs: 2_600, isOutranked: true })).toEqual(true);
  // A single reply that does not name the process as a standby is not enough to drop the replica again.
  policy.setChosen(false);
  expect(policy.decide(inContact)).toEqual(true);
});

// Guards against an owner that drops the replica on which it works, because it was no standby before.
test('the replica policy holds a replica while the process owns the cell', () => {
  const clock = ManualClock.create();
  const policy = ReplicaPolicy.create(clock);
  policy.setChosen(false);
  clock.advance(5_000);
  expect(policy.decide({ ...inContact, isOwning: true })).toEqual(true);
});
