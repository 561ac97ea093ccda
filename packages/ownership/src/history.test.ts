import { test } from 'node:test';
import { expect } from 'earl';
import fc from 'fast-check';
import { readTestSeed } from '@acaciahoist/group-commit/read-test-seed';
import { TestCluster } from './test-cluster.js';

const faultType = fc.constantFrom<('none' | 'refuse' | 'lost' | 'delayed' | 'vanish')[]>(
  ...Array<'none'>(8).fill('none'),
  'refuse',
  'lost',
  'delayed',
  'vanish',
);
const faults = fc.array(
  fc.record({
    type: faultType,
    latencyMs: fc.constantFrom(1, 1, 1, 5, 5, 20, 200, 1_500),
    appendAfterMs: fc.integer({ min: 10, max: 6_000 }),
  }),
  { minLength: 10, maxLength: 40 },
);
const step = fc.record({
  member: fc.nat(2),
  /** `cut` makes the log unreachable for the process; `race` makes all processes claim at once. */
  action: fc.constantFrom(
    ...(['claim', 'claim', 'claim', 'pause', 'suspend', 'jump', 'cut', 'release', 'race'] as const),
    'crash',
  ),
  /** Jump of the wall clock of the process. */
  jumpMs: fc.constantFrom(-10_000, -1_000, 1_000, 10_000, 5_000_000),
  /** Number of steps until a pause or an unreachable log ends. */
  durationSteps: fc.nat(3),
  waitMs: fc.constantFrom(20, 100, 700, 1_500, 4_000),
});

type Step = typeof step extends fc.Arbitrary<infer Value> ? Value : never;

/** Runs one step. Returns a function that ends the pause or the unreachability of the log it started. */
async function runStep(cluster: TestCluster, { member: index, action, waitMs, jumpMs }: Step) {
  const member = cluster.members[index];
  if (member === undefined) return () => undefined;
  if (action === 'crash') cluster.crash(index);
  if (action === 'release' && !member.process.isPaused()) void member.owner.release();
  if (action === 'claim' && !member.process.isPaused()) void member.owner.claim();
  if (action === 'race') cluster.claimEverywhere();
  if (action === 'cut') member.isReachable = false;
  if (action === 'jump') member.process.jumpWall(jumpMs);
  cluster.commitEverywhere();
  await cluster.advanceTime(waitMs / 2, 20);
  // A pause or suspension in the middle of a step stops the process while it has an outstanding append.
  if (action === 'pause') member.process.pause();
  if (action === 'suspend') member.process.suspend();
  cluster.commitEverywhere();
  await cluster.advanceTime(waitMs / 2, 20);
  return () => {
    if (action === 'pause' || action === 'suspend') member.process.resume();
    if (action === 'cut') member.isReachable = true;
  };
}

async function runSteps(cluster: TestCluster, steps: readonly Step[]): Promise<void> {
  const scheduledEnds: { atStep: number; end: () => void }[] = [];
  for (const [index, next] of steps.entries()) {
    scheduledEnds.push({ atStep: index + next.durationSteps, end: await runStep(cluster, next) });
    for (const { atStep, end } of scheduledEnds) if (atStep === index) end();
  }
}

test('three processes under random faults never hold two leases, lose or repeat an entry, or report a wrong result', async () => {
  // Guards against two leased owners, lost or repeated entries and wrong results of commits, when
  // processes pause, crash, release, claim at once or cannot reach the log, machines are suspended, wall
  // clocks jump, the log loses or delays appends, and clock rates differ.
  const seed = readTestSeed('histories of three processes under faults');
  const counts = { durable: 0, records: 0, tokens: 0, readers: 0, entries: 0 };
  const history = fc.asyncProperty(
    faults,
    fc.array(step, { minLength: 20, maxLength: 50 }),
    fc.array(fc.constantFrom(0.995, 1, 1.005), { minLength: 3, maxLength: 3 }),
    async (faultList, steps, rates) => {
      const cluster = TestCluster.create(20_000);
      for (const [index, rate] of rates.entries()) cluster.start(`p${index}`, rate);
      let calls = 0;
      const noFault = { type: 'none', latencyMs: 1 } as const;
      cluster.log.fault = () => faultList[calls++ % faultList.length] ?? noFault;
      await runSteps(cluster, steps);
      cluster.start('late reader');
      expect(await cluster.findViolations()).toEqual([]);
      counts.records += cluster.log.records.length;
      counts.readers += cluster.comparedReaders;
      counts.tokens += cluster.tokens.size;
      counts.entries += cluster.results.size;
      for (const result of cluster.results.values()) if (result === 'durable') counts.durable += 1;
    },
  );
  await fc.assert(history, { seed, numRuns: 30, endOnFailure: true });
  console.log(JSON.stringify(counts));
  // Without owners and commits the checks above would pass without testing anything.
  expect(counts.durable).toBeGreaterThan(300);
  expect(counts.tokens).toBeGreaterThan(60);
  expect(counts.readers).toBeGreaterThan(60);
});
