import { describe, test } from 'node:test';
import { expect } from 'earl';
import { faults } from './faults.js';
import { runFault } from './run-fault.js';

const seed = Number(process.env.SEED ?? 20_261_204);
const LOAD_MS = 700;
console.log(`recovery.test seed ${seed}`);

// With three cells at once the whole file takes less than 90 s.
describe('recovery', { concurrency: 3 }, () => {
  for (const [name, fault] of Object.entries(faults)) {
    test(`keeps the promises under: ${name}`, { timeout: 100_000 }, async () => {
      // Guards against work that is lost, runs twice or exceeds the capacity of a runner or worker,
      // because this fault interrupts calls, starts or appends under load.
      const run = await runFault(name, fault, { seed, loadMs: LOAD_MS });
      const { lost, duplicated, oversold, trace, ...rest } = run;
      const violations = run.violations.map(({ promise, message }) => `${promise}: ${message}`);
      const shown = JSON.stringify({ ...rest, lost, duplicated, oversold, violations });
      console.log(shown);
      if (trace !== '') console.log(trace);
      // Names the lost keys and jobs in the message, because the output above may not be kept.
      const lostWork = lost > 0 ? run.notes : [];
      expect({ lost, lostWork, duplicated, oversold, violations }).toEqual({
        lost: 0,
        lostWork: [],
        duplicated: 0,
        oversold: 0,
        violations: [],
      });
      expect(run.answers.reply ?? 0).toBeGreaterThan(0);
      expect(run.completed).toBeGreaterThan(run.answers.reply ?? 0);
    });
  }
});
