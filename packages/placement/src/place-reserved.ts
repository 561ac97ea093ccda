import { lifecycles } from '@acaciahoist/lifecycles';
import type { Reservation } from './reservation.js';
import { reservations } from './reservations.js';
import type { Round } from './round.js';

/** Time past `readyAtMs` after which a reservation that waits for tasks to end is released, ms. */
const OVERDUE_MS = 2_000;

/** Ends the reservation and starts its task on the reserved worker. */
function startReservedTask(round: Round, reservation: Reservation): void {
  const { partition } = round;
  const job = reservation.job;
  const planEntries = [...reservation.plan];
  partition.endReservation(reservation, 'use');
  for (const [worker, workerPlan] of planEntries) {
    for (const task of workerPlan.tasks) {
      const position = job.waitingTasks.lastIndexOf(task);
      if (position < 0) continue;
      job.waitingTasks.splice(position, 1);
      round.start(task, worker, 'reserved capacity became free');
    }
  }
}

/** Starts single tasks whose reserved worker has free capacity; releases overdue reservations. */
export function placeReserved(round: Round): void {
  const { partition, nowMs } = round;
  for (const reservation of partition.reservations) {
    const { job, task } = reservation;
    if (task === null) continue;
    if (job.state !== 'waiting' || task.state !== 'waiting') {
      partition.endReservation(reservation, 'release');
      continue;
    }
    if (reservations.isReady(reservation)) {
      reservation.state = lifecycles.reservation.step(reservation.state, 'ready');
      startReservedTask(round, reservation);
      continue;
    }
    const areWorkersActive = [...reservation.plan.keys()].every(
      (worker) => worker.state === 'active',
    );
    const isOverdue =
      nowMs > reservation.readyAtMs + (reservation.preemptedTasks.length > 0 ? 0 : OVERDUE_MS);
    if (!areWorkersActive || isOverdue) partition.endReservation(reservation, 'release');
  }
}
