import { test } from 'node:test';
import { expect } from 'earl';
import Result from 'true-myth/result';
import { Failure } from '@acaciahoist/errors';
import { ErrorKind } from '@acaciahoist/errors/error-kind';
import { ManualClock } from '@acaciahoist/clock/manual-clock';
import type { Heartbeat } from '@acaciahoist/types/heartbeat';
import type { PartitionView } from '@acaciahoist/types/partition-view';
import { Membership } from './membership.js';
import { rankCandidates } from './rank-candidates.js';

const createView = (partition: string, token: number, holder: string): PartitionView => ({
  partition,
  token,
  holder,
  incarnation: `${holder}-1`,
  backlog: 0,
});
const createHeartbeat = (held: readonly PartitionView[]): Heartbeat => ({
  incarnation: 'b-1',
  dataCentre: 'dc-a',
  ready: true,
  revision: 1,
  held,
});
const peer = { process: 'b', incarnation: 'b-1', dataCentre: 'dc-a' };

function createMembership(clock: ManualClock): Membership {
  return Membership.create({
    clock,
    identity: { process: 'a', incarnation: 'a-1', dataCentre: 'dc-a' },
    heartbeatMs: 500,
    digestMs: 2_000,
    random: () => 0,
    call: () => Promise.resolve(Result.err(Failure.create(ErrorKind.ownerUnreachable, 'down'))),
    describeSelf: () => createHeartbeat([]),
  });
}

// Guards against routing to a former owner after late or reordered messages.
test('the membership returns the view with the greatest token as the owner, in any order of arrival', () => {
  const membership = createMembership(ManualClock.create());
  membership.acceptDigest([createView('dc-b.0', 9, 'new')]);
  membership.acceptDigest([createView('dc-b.0', 4, 'old')]);
  expect(membership.findOwner('dc-b.0')?.holder).toEqual('new');
});

// Guards against treating a process as exited that is only paused or cannot reach its peers.
test('the membership treats a peer without heartbeats as unreachable but not as exited', () => {
  const clock = ManualClock.create();
  const membership = createMembership(clock);
  membership.acceptHeartbeat(peer, createHeartbeat([]));
  expect(membership.isUnreachable('b')).toEqual(false);
  clock.advance(1_300);
  expect(membership.isUnreachable('b')).toEqual(true);
  expect(membership.hasExited('b', 'b-1')).toEqual(false);
});

// Guards against granting slots again while a process that is only paused still uses them.
test('the membership accepts only a refused connection or another incarnation as proof of an exit', () => {
  const membership = createMembership(ManualClock.create());
  membership.acceptHeartbeat(peer, createHeartbeat([]));
  membership.recordRefusedConnection('b');
  expect(membership.hasExited('b', 'b-1')).toEqual(true);
  membership.acceptHeartbeat(
    { ...peer, incarnation: 'b-2' },
    { ...createHeartbeat([]), incarnation: 'b-2' },
  );
  expect(membership.hasExited('b', 'b-1')).toEqual(true);
  expect(membership.hasExited('b', 'b-2')).toEqual(false);
});

// Guards against treating an incarnation as exited that has not sent a heartbeat yet.
test('the membership does not count an unknown incarnation as exited and ignores late heartbeats of an exited one', () => {
  const membership = createMembership(ManualClock.create());
  membership.acceptHeartbeat(peer, createHeartbeat([]));
  expect(membership.hasExited('b', 'b-2')).toEqual(false);
  const nextHeartbeat = { ...createHeartbeat([]), incarnation: 'b-2' };
  membership.acceptHeartbeat({ ...peer, incarnation: 'b-2' }, nextHeartbeat);
  membership.acceptHeartbeat(peer, createHeartbeat([]));
  expect(membership.hasExited('b', 'b-2')).toEqual(false);
  expect(membership.hasExited('b', 'b-1')).toEqual(true);
});

// Guards against heartbeats between the processes of all data centres, whose traffic grows with the square of
// their number, and against candidates for a partition from another data centre.
test('the membership records the partitions of a process of another data centre but no live peer', () => {
  const membership = createMembership(ManualClock.create());
  const remoteHeartbeat = {
    ...createHeartbeat([createView('dc-b.0', 3, 'c')]),
    incarnation: 'c-1',
    dataCentre: 'dc-b',
  };
  membership.acceptHeartbeat(
    { process: 'c', incarnation: 'c-1', dataCentre: 'dc-b' },
    remoteHeartbeat,
  );
  expect(membership.listLivePeers()).toEqual([]);
  expect(membership.findOwner('dc-b.0')?.holder).toEqual('c');
});

// Guards against moving partitions between the remaining processes when another process is removed.
test('the candidate ranking keeps the order of the other candidates when one is removed', () => {
  const ranked = rankCandidates('dc-a.0', ['a', 'b', 'c']);
  const remaining = ranked.filter((name) => name !== 'b');
  expect(rankCandidates('dc-a.0', ['c', 'a'])).toEqual(remaining);
});
