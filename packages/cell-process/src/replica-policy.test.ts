import { test } from 'node:test';
import { expect } from 'earl';
import { ManualClock } from '@acaciahoist/clock/manual-clock';
import { ReplicaPolicy } from './replica-policy.js';

const inContact = { contactAgeMs: 0, isOwning: false, isOutranked: false };

// Guards against a process that drops its replica during a change of owners, when it may be needed most.
test('the replica policy drops the replica only after the process was not chosen for a while', () => {
  const clock = ManualClock.create();
  const mode = ReplicaPolicy.create(clock);
  mode.setChosen(false);
  clock.advance(1_000);
  expect(mode.decide(inContact)).toEqual(true);
  mode.setChosen(true);
  mode.setChosen(false);
  clock.advance(1_900);
  expect(mode.decide(inContact)).toEqual(true);
  clock.advance(200);
  expect(mode.decide(inContact)).toEqual(false);
  mode.setChosen(true);
  expect(mode.decide(inContact)).toEqual(true);
});

// Guards against clients that no process can answer because the owner and all standbys have ended.
test('the replica policy holds a replica when no process with one answers, on large machines first', () => {
  const clock = ManualClock.create();
  const mode = ReplicaPolicy.create(clock);
  mode.startWithoutReplica();
  expect(mode.decide(inContact)).toEqual(false);
  expect(mode.decide({ ...inContact, contactAgeMs: 2_000, isOutranked: true })).toEqual(false);
  expect(mode.decide({ ...inContact, contactAgeMs: 2_600, isOutranked: true })).toEqual(true);
  // A single reply without a choice is not enough to drop it again.
  mode.setChosen(false);
  expect(mode.decide(inContact)).toEqual(true);
});

// Guards against an owner that drops the state on which it works.
test('the replica policy holds a replica while the process owns the cell', () => {
  const clock = ManualClock.create();
  const mode = ReplicaPolicy.create(clock);
  mode.setChosen(false);
  clock.advance(5_000);
  expect(mode.decide({ ...inContact, isOwning: true })).toEqual(true);
});
