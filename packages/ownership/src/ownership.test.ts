import { test } from 'node:test';
import { expect } from 'earl';
import type { FakeLog } from '@acaciahoist/group-commit/fake-log';
import { TestCluster } from './test-cluster.js';

type Fault = ReturnType<FakeLog['fault']>;
const noFault: Fault = { type: 'none', latencyMs: 2 };

/** Gives the first appends the listed faults; all other calls succeed. */
function failFirstAppends(...list: Fault[]): FakeLog['fault'] {
  return (call) => (call === 'append' ? (list.shift() ?? noFault) : noFault);
}

test('an owner whose reply to an append is lost finds the record by reading and keeps the lease', async () => {
  // Guards against a second append of entries that are in the stream, and against giving up the lease.
  const cluster = TestCluster.create();
  const a = await cluster.startOwner('a');
  const before = cluster.log.records.length;
  a.fault = failFirstAppends({ type: 'lost', latencyMs: 2 });
  const key = cluster.commit(a);
  await cluster.advanceTime(900);
  expect(cluster.results.get(key)).toEqual('durable');
  expect(a.owner.authority()).toEqual('leased');
  expect(cluster.log.records.length - before).toEqual(1);
  expect(await cluster.findViolations()).toEqual([]);
});

test('a delayed append that reaches the log after its repetition has no second effect', async () => {
  // Guards against applying entries twice when the first attempt is appended seconds later.
  const cluster = TestCluster.create();
  const a = await cluster.startOwner('a');
  a.fault = failFirstAppends({ type: 'delayed', latencyMs: 0, appendAfterMs: 3_000 });
  const key = cluster.commit(a);
  await cluster.advanceTime(5_000);
  expect(cluster.results.get(key)).toEqual('durable');
  expect(await cluster.findViolations()).toEqual([]);
});

test('the lease starts before the append is sent, even when its acknowledgement is slow', async () => {
  // Guards against an owner that adds the wait for the reply to an append to its lease.
  const cluster = TestCluster.create();
  const a = await cluster.startOwner('a', 1, { appendTimeoutMs: 2_000 });
  const b = cluster.start('b');
  // The record is appended after 750 ms; the acknowledgement arrives 1,500 ms after the send, within the
  // timeout.
  const slow: Fault = { type: 'none', latencyMs: 1_500 };
  a.fault = failFirstAppends(slow, { type: 'vanish', latencyMs: 1 });
  await cluster.advanceTime(2_300);
  a.isReachable = false;
  void b.owner.claim();
  await cluster.advanceTime(4_000);
  expect(b.owner.authority()).toEqual('leased');
  expect(await cluster.findViolations()).toEqual([]);
});

test('the lease starts before the repetition when the delayed first attempt is the valid record', async () => {
  // Guards against a lease that starts at the repetition although the earlier attempt is the valid record:
  // a successor that read the earlier one may claim before such a lease ends.
  const cluster = TestCluster.create();
  const a = await cluster.startOwner('a', 1, { appendTimeoutMs: 500 });
  const b = cluster.start('b');
  // The first attempt is appended right after the log served the read that checks for it, and the
  // reply to that read takes another second.
  const slowRead: Fault = { type: 'none', latencyMs: 2_000 };
  const appends: Fault[] = [{ type: 'delayed', latencyMs: 0, appendAfterMs: 1_510 }];
  a.fault = (call) => (call === 'append' ? (appends.shift() ?? noFault) : slowRead);
  cluster.commit(a);
  await cluster.advanceTime(2_600);
  a.fault = () => noFault;
  await cluster.advanceTime(40);
  a.isReachable = false;
  void b.owner.claim();
  await cluster.advanceTime(4_000);
  expect(b.owner.authority()).toEqual('leased');
  expect(await cluster.findViolations()).toEqual([]);
});

test('an owner that was paused past its lease is not leased when it resumes', async () => {
  // Guards against acting on a lease that ended during the pause, when no timer could run.
  const cluster = TestCluster.create();
  const a = await cluster.startOwner('a');
  const b = cluster.start('b');
  await cluster.advanceTime(100);
  const inFlight = cluster.commit(a);
  a.process.pause();
  await cluster.advanceTime(20);
  void b.owner.claim();
  await cluster.advanceTime(4_000);
  expect([a.owner.authority(), b.owner.authority()]).toEqual(['holding', 'leased']);
  a.process.resume();
  const late = cluster.commit(a);
  await cluster.advanceTime(300);
  expect(a.owner.authority()).toEqual('none');
  expect(cluster.results.get(late)).toEqual('log-unavailable');
  expect(cluster.results.get(inFlight)).toEqual('append-unknown');
  expect(await cluster.findViolations()).toEqual([]);
});

test('an owner that was suspended past its lease is not leased when it resumes', async () => {
  // Guards against acting beside a successor: the monotonic clock does not count the time of a suspension.
  const cluster = TestCluster.create();
  const a = await cluster.startOwner('a');
  const b = cluster.start('b');
  await cluster.advanceTime(100);
  a.process.suspend();
  void b.owner.claim();
  await cluster.advanceTime(4_000);
  expect(b.owner.authority()).toEqual('leased');
  a.process.resume();
  expect(a.owner.authority()).not.toEqual('leased');
});

test('an owner that was suspended past its hold time is no owner when it resumes', async () => {
  // Guards against recorded work that continues beside a successor, which waits for the hold time only.
  const cluster = TestCluster.create();
  const a = await cluster.startOwner('a', 1, { holdMs: 10_000 });
  a.process.suspend();
  await cluster.advanceTime(10_500);
  a.process.resume();
  expect([a.owner.authority(), a.owner.token()]).toEqual(['none', undefined]);
});

test('an owner that was suspended during an append is not leased by its late acknowledgement', async () => {
  // Guards against a lease that counts from the end of a suspension because the append was sent before it.
  const cluster = TestCluster.create();
  const a = await cluster.startOwner('a');
  const b = cluster.start('b');
  await cluster.advanceTime(100);
  const inFlight = cluster.commit(a);
  a.process.suspend();
  await cluster.advanceTime(20);
  void b.owner.claim();
  await cluster.advanceTime(4_000);
  expect(b.owner.authority()).toEqual('leased');
  a.process.resume();
  await cluster.advanceTime(20, 1);
  expect(a.owner.authority()).not.toEqual('leased');
  await cluster.advanceTime(300);
  expect(a.owner.authority()).toEqual('none');
  // The record was appended before the claim of the successor, which the read after the suspension shows.
  expect(cluster.results.get(inFlight)).toEqual('durable');
  expect(await cluster.findViolations()).toEqual([]);
});

test('a claimant that was suspended between its claim and the read of it is not leased beside its successor', async () => {
  // Guards against a new owner whose lease does not count the suspension in which another process replaced it.
  const cluster = TestCluster.create();
  const a = cluster.start('a');
  const b = cluster.start('b');
  await cluster.advanceTime(100);
  // The reply to the read that shows the claim takes 400 ms, and the suspension begins before it arrives.
  const slowRead: Fault = { type: 'none', latencyMs: 400 };
  let hasAppended = false;
  a.fault = (call) => {
    hasAppended ||= call === 'append';
    return hasAppended && call === 'read' ? slowRead : noFault;
  };
  void a.owner.claim();
  await cluster.advanceTime(300);
  expect([a.owner.authority(), b.owner.holder()?.process]).toEqual(['none', 'a']);
  a.process.suspend();
  void b.owner.claim();
  await cluster.advanceTime(4_000);
  expect(b.owner.authority()).toEqual('leased');
  a.process.resume();
  a.fault = () => noFault;
  await cluster.advanceTime(2_000, 1);
  expect(a.owner.authority()).toEqual('none');
  expect(await cluster.findViolations()).toEqual([]);
});

test('an owner whose wall clock jumps ahead by less than its hold time is leased again under its token', async () => {
  // Guards against a jump of the wall clock that costs the owner more than one append.
  const cluster = TestCluster.create();
  const a = await cluster.startOwner('a');
  const token = a.owner.token();
  a.process.jumpWall(600_000);
  expect(a.owner.authority()).toEqual('holding');
  await cluster.advanceTime(1_000);
  expect([a.owner.authority(), a.owner.token()]).toEqual(['leased', token]);
  expect(await cluster.findViolations()).toEqual([]);
});

test('an owner whose wall clock jumps ahead by more than its hold time stops and can claim again', async () => {
  // Guards against an owner that never recovers from a jump of its wall clock.
  const cluster = TestCluster.create();
  const a = await cluster.startOwner('a');
  a.process.jumpWall(24 * 3_600_000);
  expect(a.owner.authority()).toEqual('none');
  void a.owner.claim();
  await cluster.advanceTime(3_000);
  expect(a.owner.authority()).toEqual('leased');
  expect(await cluster.findViolations()).toEqual([]);
});

test('an owner whose wall clock is set back while it is paused is not leased past its lease', async () => {
  // Guards against a lease that is extended by a wall clock that was set back.
  const cluster = TestCluster.create();
  const a = await cluster.startOwner('a');
  const b = cluster.start('b');
  await cluster.advanceTime(100);
  a.process.pause();
  a.process.jumpWall(-3_600_000);
  void b.owner.claim();
  await cluster.advanceTime(4_000);
  expect([a.owner.authority(), b.owner.authority()]).toEqual(['holding', 'leased']);
  expect(await cluster.findViolations()).toEqual([]);
});

test('an owner appends a snapshot after suspensions that add up to a third of the retention time', async () => {
  // Guards against retention that removes the only snapshot because its age does not count suspensions.
  const cluster = TestCluster.create(30_000);
  const a = await cluster.startOwner('a', 1, { holdMs: 20_000 });
  const before = a.owner.describe().lastSnapshot;
  for (let suspensions = 0; suspensions < 2; suspensions += 1) {
    a.process.suspend();
    await cluster.advanceTime(6_000);
    a.process.resume();
    await cluster.advanceTime(500);
  }
  expect(a.owner.describe().lastSnapshot).not.toEqual(before);
  expect(a.owner.authority()).toEqual('leased');
});

test('entries that the claim of a successor made invalid are reported as not appended', async () => {
  // Guards against `append-unknown` for entries although the journal shows that they did not take effect,
  // because the claim of the successor precedes them.
  const cluster = TestCluster.create();
  const a = await cluster.startOwner('a', 1, { entryWaitMs: 20_000 });
  const b = cluster.start('b');
  await cluster.advanceTime(100);
  a.fault = failFirstAppends({ type: 'vanish', latencyMs: 1 });
  const inFlight = cluster.commit(a);
  await cluster.advanceTime(10);
  const waiting = cluster.commit(a);
  a.process.pause();
  void b.owner.claim();
  await cluster.advanceTime(4_000);
  a.process.resume();
  await cluster.advanceTime(300);
  expect([cluster.results.get(inFlight), cluster.results.get(waiting)]).toEqual([
    'not-owner',
    'not-owner',
  ]);
  expect(await cluster.findViolations()).toEqual([]);
});

test('only one of two claimants becomes owner, even when the claim of the other is appended later', async () => {
  // Guards against a late claim that takes the partition from an owner which the claimant never read.
  const cluster = TestCluster.create();
  const a = cluster.start('a');
  const b = cluster.start('b');
  b.fault = failFirstAppends({ type: 'delayed', latencyMs: 0, appendAfterMs: 400 });
  cluster.claimEverywhere();
  await cluster.advanceTime(390);
  expect(a.owner.authority()).toEqual('leased');
  await cluster.advanceTime(2_000);
  expect([a.owner.authority(), b.owner.authority()]).toEqual(['leased', 'none']);
  expect(await cluster.findViolations()).toEqual([]);
});

test('a claim that is appended after a renewal of the owner is invalid', async () => {
  // Guards against a claim that replaces an owner which renewed between the claimant's read and its claim.
  const cluster = TestCluster.create();
  const a = await cluster.startOwner('a');
  const b = cluster.start('b');
  await cluster.advanceTime(100);
  const token = a.owner.token();
  a.isReachable = false;
  b.fault = failFirstAppends({ type: 'delayed', latencyMs: 0, appendAfterMs: 1_500 });
  const claimed = b.owner.claim();
  await cluster.advanceTime(2_800);
  a.isReachable = true;
  await cluster.advanceTime(5_000);
  expect(a.owner.token()).toEqual(token);
  expect((await claimed).isErr).toEqual(true);
  expect(await cluster.findViolations()).toEqual([]);
});

test('a claim fails without an append while the owner renews its lease', async () => {
  // Guards against a claimant that does not restart its wait when it reads a renewal of the owner.
  const cluster = TestCluster.create();
  const a = await cluster.startOwner('a');
  const b = cluster.start('b');
  const claimed = b.owner.claim();
  await cluster.advanceTime(3_000);
  expect((await claimed).isErr).toEqual(true);
  expect(a.owner.authority()).toEqual('leased');
  expect(b.owner.holder()?.process).toEqual('a');
});

test('two leases do not overlap when the clock rates of the processes differ by 1.5%', async () => {
  // Guards against a claimant whose faster clock ends its wait before the lease ends by the slower clock of
  // the owner.
  const cluster = TestCluster.create();
  const a = await cluster.startOwner('a', 0.99);
  const b = cluster.start('b', 1.005);
  await cluster.advanceTime(840);
  a.isReachable = false;
  void b.owner.claim();
  await cluster.advanceTime(4_000, 2);
  expect(b.owner.authority()).toEqual('leased');
  expect(await cluster.findViolations()).toEqual([]);
});

test('an owner whose log refuses all calls holds, refuses commits and is leased again later', async () => {
  // Guards against entries that wait without a limit, and against a new claim by the same process.
  const cluster = TestCluster.create();
  const a = await cluster.startOwner('a');
  const token = a.owner.token();
  cluster.log.fault = () => ({ type: 'refuse', latencyMs: 1 });
  await cluster.advanceTime(3_000);
  expect(a.owner.authority()).toEqual('holding');
  const refused = cluster.commit(a);
  await cluster.advanceTime(10);
  expect(cluster.results.get(refused)).toEqual('log-unavailable');
  cluster.log.fault = () => noFault;
  await cluster.advanceTime(2_000);
  expect([a.owner.authority(), a.owner.token()]).toEqual(['leased', token]);
  expect(await cluster.findViolations()).toEqual([]);
});

test('a holding owner whose appends are refused reads the claim of its successor', async () => {
  // Guards against holding for an hour beside a successor when only the appends of this process fail.
  const cluster = TestCluster.create();
  const a = await cluster.startOwner('a');
  const b = cluster.start('b');
  a.fault = (call) => (call === 'append' ? { type: 'refuse', latencyMs: 1 } : noFault);
  void b.owner.claim();
  await cluster.advanceTime(4_000);
  expect([a.owner.authority(), b.owner.authority()]).toEqual(['none', 'leased']);
});

test('an owner whose log is unavailable for an hour stops holding and keeps no waiting commits', async () => {
  // Guards against memory that grows during the outage, and against holding beyond the hold time.
  const cluster = TestCluster.create();
  const a = await cluster.startOwner('a', 1, { maxWaitingEntries: 100 });
  cluster.log.fault = () => ({ type: 'vanish', latencyMs: 1 });
  const changes: string[] = [];
  a.owner.onAuthorityChange((authority) => changes.push(authority));
  for (let call = 0; call < 150; call += 1) cluster.commit(a);
  await cluster.advanceTime(10);
  const results = () => [...cluster.results.values()];
  // 100 wait or are outstanding; the other 50 are refused at once.
  expect(results().filter((result) => result === 'log-unavailable').length).toEqual(50);
  await cluster.advanceTime(3_500_000, 500);
  expect(a.owner.authority()).toEqual('holding');
  expect(results()).not.toInclude('pending');
  const { commits } = a.owner.describe() as { commits: { waitingEntries: number } };
  expect(commits.waitingEntries).toEqual(0);
  await cluster.advanceTime(101_000, 500);
  expect(changes).toEqual(['holding', 'none']);
  expect(await cluster.findViolations()).toEqual([]);
});

test('a successor that starts after a retention gap replays from the snapshot and loses no entry', async () => {
  // Guards against replay from a snapshot that leaves out or repeats the records around it.
  const cluster = TestCluster.create(9_000);
  const a = await cluster.startOwner('a');
  for (let call = 0; call < 40; call += 1) {
    cluster.commit(a);
    await cluster.advanceTime(500);
  }
  const late = cluster.start('late');
  a.process.pause();
  void late.owner.claim();
  await cluster.advanceTime(4_000);
  expect(late.owner.authority()).toEqual('leased');
  expect(late.owner.state().keys.size).toEqual(40);
  expect(await cluster.findViolations()).toEqual([]);
  expect(cluster.comparedReaders).toEqual(2);
});

test('an idle owner appends snapshots, so that a process that starts later has a state', async () => {
  // Guards against an idle partition whose only snapshot is removed by retention.
  const cluster = TestCluster.create(9_000);
  await cluster.startOwner('a');
  await cluster.advanceTime(60_000, 20);
  const late = cluster.start('late');
  await cluster.advanceTime(100);
  expect(late.owner.describe().hasState).toEqual(true);
  expect(late.owner.holder()?.process).toEqual('a');
});

test('a process reads nothing while the owner is known to be alive, and claims once it is not', async () => {
  // Guards against reads of every journal by every process, and against a claim that relies on stale reads.
  const cluster = TestCluster.create();
  const a = await cluster.startOwner('a');
  let isAlive = true;
  const b = cluster.start('b', 1, { isOwnerAlive: () => isAlive });
  await cluster.advanceTime(300);
  let reads = 0;
  b.fault = (call) => {
    if (call === 'read') reads += 1;
    return noFault;
  };
  await cluster.advanceTime(10_000);
  expect(reads).toEqual(0);
  a.process.pause();
  isAlive = false;
  void b.owner.claim();
  await cluster.advanceTime(2_600);
  expect(b.owner.authority()).toEqual('none');
  await cluster.advanceTime(200);
  expect(b.owner.authority()).toEqual('leased');
  expect(await cluster.findViolations()).toEqual([]);
});

test('a successor claims a released partition without waiting for the lease', async () => {
  // Guards against a planned change of the owner that takes a whole lease or loses entries.
  const cluster = TestCluster.create();
  const a = await cluster.startOwner('a');
  const b = cluster.start('b');
  await cluster.advanceTime(50);
  const last = cluster.commit(a);
  const released = a.owner.release();
  expect(a.owner.authority()).toEqual('none');
  await cluster.advanceTime(50);
  expect((await released).isOk).toEqual(true);
  expect(cluster.results.get(last)).toEqual('durable');
  void b.owner.claim();
  await cluster.advanceTime(50, 1);
  expect(b.owner.authority()).toEqual('leased');
  expect(b.owner.state().keys.has(last)).toEqual(true);
  expect(await cluster.findViolations()).toEqual([]);
});
