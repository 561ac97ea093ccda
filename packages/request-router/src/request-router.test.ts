import { test } from 'node:test';
import { expect } from 'earl';
import fc from 'fast-check';
import { answers } from '@acaciahoist/errors/answers';
import { RouterFixture } from './router-fixture.js';
import type { RunnerBehaviour } from './runner-behaviour.js';

const seed = Number(process.env.SEED ?? 20_250_601);
console.log(`request-router.test seed ${seed}`);

const arbitraryBehaviours = fc.array(
  fc.oneof(
    { weight: 6, arbitrary: fc.constant<RunnerBehaviour>('reply') },
    {
      weight: 4,
      arbitrary: fc.constantFrom<RunnerBehaviour>(
        'unreachable',
        'cut',
        'busy',
        'hang',
        'late',
        'foreign',
        'broken',
        'throw',
      ),
    },
  ),
  { minLength: 20, maxLength: 80 },
);

test('the router answers and counts each request once and correctly, within slots and retry budget, when runners fail', async () => {
  // Guards against a late, foreign or broken reply that is returned as complete, "not run" after an attempt
  // that was sent, a slot that is freed while its runner works, too many retries, and a request without an
  // answer.
  await fc.assert(
    fc.asyncProperty(arbitraryBehaviours, fc.integer({ min: 0, max: 4 }), async (plan, gapMs) => {
      let nextIndex = 0;
      const fixture = new RouterFixture(() => plan[nextIndex++ % plan.length] ?? 'reply');
      let answerCount = 0;
      const violations: string[] = [];
      for (let index = 0; index < plan.length; index += 1) {
        void fixture.route(index).then((result) => {
          answerCount += 1;
          const startCount = fixture.startCounts.get(`r${index}`) ?? 0;
          if (result.isOk) {
            const { requestId, body } = result.value;
            const isOwn = requestId.split('.')[0] === `r${index}`;
            const isComplete = new TextDecoder().decode(body) === `body ${index}`;
            if (!isOwn || !isComplete) violations.push(`wrong reply to r${index}`);
          } else if (answers[result.error.kind].execution === 'not-run' && startCount > 0) {
            violations.push(`r${index} ran, but: ${result.error.message}`);
          }
        });
        await fixture.advance(gapMs);
      }
      const drained = Promise.all(fixture.routers.map((router) => router.drain()));
      await fixture.advance(400);
      await drained;
      await Promise.all(fixture.routers.map((router) => router.drain()));
      expect((await fixture.route(0)).isErr).toEqual(true);
      expect(violations).toEqual([]);
      expect(answerCount).toEqual(plan.length);
      expect(fixture.maxBusySlots).toBeLessThanOrEqual(8);
      const rows = fixture.routers.flatMap((router) => router.takeOutcomes());
      expect(rows.reduce((sum, row) => sum + row.count, 0)).toEqual(plan.length);
      const counts = fixture.routers.map((router) => router.describe());
      const elapsedMs = fixture.clock.monotonicMs();
      for (const { firstTries, retries } of counts) {
        const allowed = 0.1 * firstTries + 3 + (3 * elapsedMs) / 1_000;
        expect(retries).toBeLessThanOrEqual(allowed);
      }
    }),
    { seed, numRuns: 60 },
  );
});
