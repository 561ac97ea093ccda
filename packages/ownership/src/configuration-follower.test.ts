import { test } from 'node:test';
import { expect } from 'earl';
import fc from 'fast-check';
import { ManualClock } from '@acaciahoist/clock/manual-clock';
import { Configuration } from '@acaciahoist/configuration';
import { decodeConfigurationRecord } from '@acaciahoist/configuration/decode-configuration-record';
import { advance } from '@acaciahoist/group-commit/advance';
import { FakeLog } from '@acaciahoist/group-commit/fake-log';
import { readTestSeed } from '@acaciahoist/group-commit/read-test-seed';
import { ConfigurationFollower } from './configuration-follower.js';

type Fault = ReturnType<FakeLog['fault']>;
const noFault: Fault = { type: 'none', latencyMs: 2 };

/** Several followers of one configuration stream, with every revision that each of them applied. */
function startFollowers(count: number, retentionMs = Infinity) {
  const clock = ManualClock.create();
  const log = FakeLog.create(clock, retentionMs);
  const appliedRevisions: number[][] = [];
  const start = (jitterFraction: number) => {
    const follower = ConfigurationFollower.create({
      clock,
      log,
      retentionMs: Number.isFinite(retentionMs) ? retentionMs : 3_600_000,
      accepts: (text) => !text.startsWith('bad'),
      jitterFraction: () => jitterFraction,
    });
    const revisions: number[] = [];
    appliedRevisions.push(revisions);
    follower.onChange(({ revision }) => revisions.push(revision));
    void follower.follow();
    return follower;
  };
  const followers = Array.from({ length: count }, (_, index) => start(index / count));
  return { clock, log, followers, appliedRevisions, start };
}

function countCheckpoints(log: FakeLog): number {
  const records = log.records.map(({ data }) =>
    decodeConfigurationRecord(data).unwrapOr(undefined),
  );
  return records.filter((record) => record?.type === 'checkpoint').length;
}

test('followers accept one of several publications on the same base revision and report a conflict with both texts for the others', async () => {
  // Guards against two accepted publications on one base, and a conflict without the text in force.
  const { clock, followers } = startFollowers(3);
  await advance(clock, 50);
  const published = followers.map((follower, index) =>
    follower.publish(0, `text ${index}`, `operator ${index}`),
  );
  await advance(clock, 100);
  const [first, second, third] = await Promise.all(published);
  expect(first?.unwrapOr(0)).toEqual(1);
  for (const [index, outcome] of [second, third].entries()) {
    expect(outcome?.isErr && [outcome.error.kind, outcome.error.details]).toEqual([
      'revision-conflict',
      { revision: 1, operator: 'operator 0', text: 'text 0', ownText: `text ${index + 1}` },
    ]);
  }
  const stale = followers[0]?.publish(0, 'later', 'op');
  const bad = followers[0]?.publish(1, 'bad', 'op');
  await advance(clock, 100);
  expect((await stale)?.isErr && (await bad)?.isErr).toEqual(true);
  for (const follower of followers) expect(follower.current().text).toEqual('text 0');
  for (const follower of followers) follower.close();
});

test('followers under random faults and retention never lower a revision or report a wrong result', async () => {
  // Guards against a revision that decreases, an accepted publication that is lost, and a result that
  // contradicts the stream, after lost or delayed appends, restarts and removed records.
  const seed = readTestSeed('configuration under random faults');
  const fault = fc.record({
    type: fc.constantFrom<Fault['type'][]>(
      ...Array<'none'>(6).fill('none'),
      'refuse',
      'lost',
      'delayed',
    ),
    latencyMs: fc.constantFrom(1, 10, 300),
    appendAfterMs: fc.integer({ min: 10, max: 5_000 }),
  });
  const step = fc.record({
    operator: fc.nat(2),
    stale: fc.nat(4),
    waitMs: fc.constantFrom(5, 300, 3_000),
  });
  const counts = { accepted: 0, conflicts: 0, unknown: 0, restarts: 0 };
  const property = fc.asyncProperty(
    fc.array(fault, { minLength: 5, maxLength: 30 }),
    fc.array(step, { minLength: 10, maxLength: 30 }),
    async (faults, steps) => {
      const { clock, log, followers, appliedRevisions, start } = startFollowers(3, 30_000);
      let calls = 0;
      log.fault = () => faults[calls++ % faults.length] ?? noFault;
      const reports: { text: string; result: string; revision: number }[] = [];
      for (const [index, { operator, stale, waitMs }] of steps.entries()) {
        if (index % 8 === 7) {
          followers[operator]?.close();
          followers[operator] = start(operator / 3);
          counts.restarts += 1;
        }
        const follower = followers[operator];
        const base = (follower?.current().revision ?? 0) - (stale === 0 ? 1 : 0);
        const text = `text ${index}`;
        void follower?.publish(base, text, `operator ${operator}`).then((outcome) => {
          const result = outcome.isOk ? 'accepted' : outcome.error.kind;
          reports.push({ text, result, revision: outcome.unwrapOr(0) });
        });
        await advance(clock, waitMs, 20);
      }
      log.fault = () => noFault;
      await advance(clock, 20_000, 20);
      const accepted = new Map<string, number>();
      const fullReplay = Configuration.create({
        onPublication: ({ result, publication, revision }) => {
          if (result === 'accepted') accepted.set(publication.text, revision);
        },
      });
      for (const record of log.records) fullReplay.apply(record);
      for (const { text, result, revision } of reports) {
        if (result === 'accepted') expect(accepted.get(text)).toEqual(revision);
        else if (result !== 'append-unknown') expect(accepted.has(text)).toEqual(false);
        if (result === 'accepted') counts.accepted += 1;
        if (result === 'revision-conflict') counts.conflicts += 1;
        if (result === 'append-unknown') counts.unknown += 1;
      }
      expect(reports.length).toEqual(steps.length);
      for (const revisions of appliedRevisions) {
        expect(revisions).toEqual([...revisions].sort((left, right) => left - right));
      }
      for (const follower of followers) {
        expect(follower.current().revision).toEqual(fullReplay.current().revision);
        expect(follower.current().text).toEqual(fullReplay.current().text);
        follower.close();
      }
    },
  );
  await fc.assert(property, { seed, numRuns: 20, endOnFailure: true });
  console.log(JSON.stringify(counts));
  expect(counts.accepted).toBeGreaterThan(80);
  expect(counts.conflicts).toBeGreaterThan(20);
});

test('a publication whose replies are lost is reported as accepted and takes effect once', async () => {
  // Guards against reporting a conflict of a publication with its own earlier copy.
  const { clock, log, followers } = startFollowers(1);
  await advance(clock, 50);
  const faults: Fault[] = [
    { type: 'delayed', latencyMs: 0, appendAfterMs: 2_500 },
    { type: 'lost', latencyMs: 2 },
  ];
  log.fault = (call) => (call === 'append' ? (faults.shift() ?? noFault) : noFault);
  const published = followers[0]?.publish(0, 'text', 'op');
  await advance(clock, 10_000);
  expect((await published)?.unwrapOr(0)).toEqual(1);
  expect(followers[0]?.current().revision).toEqual(1);
  followers[0]?.close();
});

test('checkpoints keep a revision beyond the retention time and usually come from one process', async () => {
  // Guards against a configuration that retention removes, and a checkpoint of each process per interval.
  const { clock, log, followers, start } = startFollowers(9, 60_000);
  await advance(clock, 50);
  const published = followers[0]?.publish(0, 'text', 'op');
  await advance(clock, 50);
  expect((await published)?.unwrapOr(0)).toEqual(1);
  await advance(clock, 600_000, 50);
  const lateFollower = start(0.5);
  await advance(clock, 50);
  expect([lateFollower.current().revision, lateFollower.current().text]).toEqual([1, 'text']);
  // 600 s are 30 intervals of a third of the retention time. Nine processes that ignored the checkpoints
  // of the others would append 270.
  console.log(`checkpoints in 30 intervals: ${countCheckpoints(log)}`);
  expect(countCheckpoints(log) <= 60).toEqual(true);
  for (const follower of [...followers, lateFollower]) follower.close();
});

test('a follower that starts while the log is unavailable applies the revision of a peer and keeps it', async () => {
  // Guards against a return to older revisions while the stream is replayed after the outage.
  const { clock, log, followers, start } = startFollowers(1);
  await advance(clock, 50);
  for (const base of [0, 1, 2]) {
    void followers[0]?.publish(base, `text ${base + 1}`, 'op');
    await advance(clock, 50);
  }
  log.fault = () => ({ type: 'refuse', latencyMs: 1 });
  const lateFollower = start(0);
  const failed = lateFollower.follow();
  await advance(clock, 50);
  expect((await failed).isErr).toEqual(true);
  const changes: unknown[] = [];
  lateFollower.onChange(({ revision, source }) => changes.push([revision, source]));
  lateFollower.adoptPeer({ revision: 3, text: 'text 3', operator: 'op', atMs: 0 });
  lateFollower.adoptPeer({ revision: 2, text: 'text 2', operator: 'op', atMs: 0 });
  log.fault = () => noFault;
  log.pageSize = 1;
  await advance(clock, 5_000);
  expect(changes).toEqual([[3, 'peer']]);
  expect(lateFollower.current().source).toEqual('stream');
  followers[0]?.close();
  lateFollower.close();
});
