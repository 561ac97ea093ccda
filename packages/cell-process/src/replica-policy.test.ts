import { test } from 'node:test';
import { expect } from 'earl';
import { ManualClock } from '@acaciahoist/clock/manual-clock';
import { ReplicaPolicy } from './replica-policy.js';

const near = { contactAgeMs: 0, isOwning: false, isOutranked: false };

// Guards against a process that gives its replica up between two owners, when it may be needed most.
test('gives a replica up only after it was not chosen for a while', () => {
  const clock = ManualClock.create();
  const mode = ReplicaPolicy.create(clock);
  mode.setChosen(false);
  clock.advance(1_000);
  expect(mode.decide(near)).toEqual(true);
  mode.setChosen(true);
  mode.setChosen(false);
  clock.advance(1_900);
  expect(mode.decide(near)).toEqual(true);
  clock.advance(200);
  expect(mode.decide(near)).toEqual(false);
  mode.setChosen(true);
  expect(mode.decide(near)).toEqual(true);
});

// Guards against clients that nobody can answer because the owner and all standbys are gone.
test('holds a replica when no other process with one answers, large machines first', () => {
  const clock = ManualClock.create();
  const mode = ReplicaPolicy.create(clock);
  mode.startWithoutReplica();
  expect(mode.decide(near)).toEqual(false);
  expect(mode.decide({ ...near, contactAgeMs: 2_000, isOutranked: true })).toEqual(false);
  expect(mode.decide({ ...near, contactAgeMs: 2_600, isOutranked: true })).toEqual(true);
  // One answer is not enough to give it up again.
  mode.setChosen(false);
  expect(mode.decide(near)).toEqual(true);
});

// Guards against an owner that gives up the state it works on.
test('holds a replica while it owns the cell', () => {
  const clock = ManualClock.create();
  const mode = ReplicaPolicy.create(clock);
  mode.setChosen(false);
  clock.advance(5_000);
  expect(mode.decide({ ...near, isOwning: true })).toEqual(true);
});
