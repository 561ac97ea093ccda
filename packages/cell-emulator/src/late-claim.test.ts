import { test } from 'node:test';
import { expect } from 'earl';
import { CallFault } from './call-fault.js';
import { createJob } from './create-job.js';
import { EmulatedCell } from './emulated-cell.js';

/** Time in ms for which the claimant is paused: its worker's lease has not expired by then. */
const PAUSE_MS = 6_500;
/** Time in ms within which the successor starts the task of the unreachable worker again. */
const OBSERVED_MS = 16_000;

/** Advances the clock until a process has sent a claim that is in the log, and returns its name. */
async function advanceToNextClaim(cell: EmulatedCell): Promise<string> {
  const lineCount = cell.logLines.length;
  const findClaimant = (): string | undefined =>
    cell.logLines
      .slice(lineCount)
      .find((line) => line.includes('claim-sent'))
      ?.split(' ')[1]
      ?.split('#')[0];
  while (findClaimant() === undefined) await cell.advance(1);
  await cell.advance(2);
  return findClaimant() ?? '';
}

// Guards against two runs of a task at the same time: an owner that reads its claim late, because it was paused
// or its read was slow, extends leases as if its claim had just been appended, beyond the time after which its
// successor starts the tasks of an unreachable worker elsewhere.
test('an owner that reads its claim late extends no lease beyond the time that its successor waits', async () => {
  for (let seed = 1; seed <= 8; seed += 1) {
    const cell = EmulatedCell.create({ seed, processes: 3, workers: 3 });
    await cell.start();
    await cell.advance(2_000);
    const submitted = cell.submit(
      createJob(1, [{ count: 6, estimateMs: 60_000, millicores: 2_500 }]),
      'p0',
    );
    await cell.advance(2_000);
    expect(await submitted).toEqual('accepted');
    cell.killProcess(cell.findOwnerName() ?? '');
    const claimant = await advanceToNextClaim(cell);
    cell.pause(claimant);
    // From now on the claimant reaches one worker and nothing else, and no other process reaches that worker.
    cell.store.chooseFault = (caller) => (caller === claimant ? CallFault.lost : CallFault.none);
    cell.peers.chooseFault = (caller, callee) =>
      caller === claimant || callee === claimant ? CallFault.lost : CallFault.none;
    cell.isDisconnected = (process, worker) => (process === claimant) !== (worker === 'w0');
    await cell.advance(PAUSE_MS);
    await cell.resume(claimant);
    await cell.advance(OBSERVED_MS);
    expect(cell.listViolations().map((violation) => `seed ${seed}: ${violation}`)).toEqual([]);
  }
});
