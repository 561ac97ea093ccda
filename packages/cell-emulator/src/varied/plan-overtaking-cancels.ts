import type { Random } from '@acaciahoist/random';
import { CallFault } from '../call-fault.js';
import { scheduleTimes } from './schedule-times.js';
import type { SchedulePlan } from './schedule-plan.js';

/** Time in ms for which a process reaches no other one, and its appends take effect late. */
const DELAY_MS = 900;

/** Plans cancels that the cell executes before the submission of their job. */
export function planOvertakingCancels(plan: SchedulePlan, random: Random): void {
  const { cell } = plan;
  const count = random.integer(1, 3);
  for (let number = 0; number < count; number += 1) {
    const atMs = random.integer(1_000, scheduleTimes.loadEndMs);
    const index = random.integer(0, 2);
    const process = `p${index}`;
    plan.at(atMs, () => {
      const { store, peers } = cell;
      const choosePeerFault = peers.chooseFault;
      const chooseStoreFault = store.chooseFault;
      const endMs = cell.clock.monotonicMs() + DELAY_MS;
      const isDelayed = (caller: string): boolean =>
        caller === process && cell.clock.monotonicMs() < endMs;
      peers.chooseFault = (caller, ...call) =>
        isDelayed(caller) ? CallFault.lost : choosePeerFault(caller, ...call);
      store.chooseFault = (caller, kind) =>
        isDelayed(caller) && kind === 'append' ? CallFault.late : chooseStoreFault(caller, kind);
    });
    const job = plan.createJob([{ count: 2, estimateMs: 5_000 }]);
    const cancelAtMs = atMs + random.integer(0, 800);
    plan.at(atMs + random.integer(0, 400), () => {
      plan.submit(job, process);
    });
    plan.at(cancelAtMs, () => cell.cancel(job.id, `p${(index + 1) % 3}`));
  }
}
