import type { PlannedWorker } from './planned-worker.js';
import type { ReadyStep } from './ready-step.js';
import type { Reservation } from './reservation.js';
import type { ReservationWaits } from './reservation-waits.js';

/**
 * Time in ms for which reservations may keep a step from idle capacity. Clients expect a start within 3 s while
 * less than half of the capacity is in use.
 */
const MAX_HELD_MS = 2_000;
/** Share of the processors of a service from which on reservations are not bounded in time. */
const MAX_USED_SHARE = 0.5;
/**
 * Time in ms after its first reservation from which on the reservations of a gang are not bounded in time, so
 * that it does not wait for good behind a stream of small tasks. Longer than one wait for a reservation (15 s).
 */
const MAX_GANG_WAIT_MS = 30_000;

/** Bounds the time for which reservations keep steps from idle capacity, in one planning round. */
export class ReservationBounds {
  static create(
    steps: readonly ReadyStep[],
    workers: readonly PlannedWorker[],
    nowMs: number,
    former: ReservationWaits,
  ): ReservationBounds {
    return new ReservationBounds(steps, workers, nowMs, former);
  }

  private readonly heldSinceMs: Map<string, number>;
  private readonly reservedSinceMs: Map<string, number>;
  /** Services of which so much is in use that this round releases no more steps. */
  private readonly busyServices = new Set<string>();

  private constructor(
    steps: readonly ReadyStep[],
    private readonly workers: readonly PlannedWorker[],
    private readonly nowMs: number,
    former: ReservationWaits,
  ) {
    this.heldSinceMs = selectWaits(former.heldSinceMs, steps);
    this.reservedSinceMs = selectWaits(former.reservedSinceMs, steps);
  }

  /** Returns the waits for the next round. */
  get waits(): ReservationWaits {
    return { heldSinceMs: this.heldSinceMs, reservedSinceMs: this.reservedSinceMs };
  }

  /** Returns true when the step has been kept from idle capacity for so long that it may use reserved capacity. */
  isReleased(step: ReadyStep): boolean {
    const heldSinceMs = this.heldSinceMs.get(step.key);
    if (heldSinceMs === undefined || this.nowMs - heldSinceMs < MAX_HELD_MS) return false;
    return this.countReleasedMillicores(step) > 0;
  }

  /** Returns the reservations that bind the step. */
  listBinding(reservations: readonly Reservation[], step: ReadyStep): readonly Reservation[] {
    if (reservations.length === 0 || !this.isReleased(step)) return reservations;
    return reservations.filter(
      ({ key }) => this.nowMs - (this.reservedSinceMs.get(key) ?? this.nowMs) >= MAX_GANG_WAIT_MS,
    );
  }

  /** Returns how many tasks of a released step may start in this round. */
  countReleasedTasks(step: ReadyStep): number {
    return Math.ceil(this.countReleasedMillicores(step) / Math.max(1, step.step.millicores));
  }

  /** Records whether reservations alone keep the step from capacity that is idle in this round. */
  recordHeld(step: ReadyStep, isHeld: boolean): void {
    if (!isHeld) this.heldSinceMs.delete(step.key);
    else if (!this.heldSinceMs.has(step.key)) this.heldSinceMs.set(step.key, this.nowMs);
  }

  /** Records a reservation for a gang. */
  recordReservation(key: string): void {
    if (!this.reservedSinceMs.has(key)) this.reservedSinceMs.set(key, this.nowMs);
  }

  /** Returns the processors that may still be used before reservations are no longer bounded in time. */
  private countReleasedMillicores({ queue }: ReadyStep): number {
    if (this.busyServices.has(queue.service)) return 0;
    let total = 0;
    let free = 0;
    for (const worker of this.workers) {
      if (worker.service !== queue.service) continue;
      total += worker.total.millicores;
      free += worker.free.millicores;
    }
    const releasedMillicores = MAX_USED_SHARE * total - (total - free);
    if (releasedMillicores <= 0) this.busyServices.add(queue.service);
    return Math.max(0, releasedMillicores);
  }
}

/** Returns the waits of those steps that still wait. */
function selectWaits(
  former: ReadonlyMap<string, number>,
  steps: readonly ReadyStep[],
): Map<string, number> {
  const selected = new Map<string, number>();
  if (former.size === 0) return selected;
  for (const { key } of steps) {
    const sinceMs = former.get(key);
    if (sinceMs !== undefined) selected.set(key, sinceMs);
  }
  return selected;
}
