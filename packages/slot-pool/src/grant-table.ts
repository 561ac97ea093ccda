import type { Clock } from '@acaciahoist/clock';
import { DRIFT_FACTOR } from './drift-factor.js';
import type { TrackedGrant } from './tracked-grant.js';
import type { OutstandingGrant } from './outstanding-grant.js';

/** Stores the outstanding grants and counts them in the slots of their runners. */
export class GrantTable {
  static create(
    clock: Clock,
    marginMs: number,
    onExpiry: (grant: TrackedGrant) => void,
  ): GrantTable {
    return new GrantTable(clock, marginMs, onExpiry);
  }

  private readonly grants = new Map<string, TrackedGrant>();

  private constructor(
    private readonly clock: Clock,
    private readonly marginMs: number,
    private readonly onExpiry: (grant: TrackedGrant) => void,
  ) {}

  find(grantId: string): TrackedGrant | undefined {
    return this.grants.get(grantId);
  }

  /** Adds a grant. Its slot is in use until the grant is removed or its deadline and margin have passed. */
  add(entry: Omit<TrackedGrant, 'addedAtMs' | 'cancelTimer'> & { remainingMs: number }): void {
    const { remainingMs, ...stored } = entry;
    const delayMs = Math.max(0, remainingMs) * DRIFT_FACTOR + this.marginMs;
    const { grantId } = entry.grant;
    const cancelTimer = this.clock.after(delayMs, () => {
      const grant = this.remove(grantId);
      if (grant !== undefined) this.onExpiry(grant);
    });
    const addedAtMs = this.clock.monotonicMs();
    this.grants.set(grantId, { ...stored, addedAtMs, cancelTimer });
    entry.runner.changeCount(entry.lane, entry.isAdopted, 1);
  }

  remove(grantId: string): TrackedGrant | undefined {
    const grant = this.grants.get(grantId);
    if (grant === undefined) return undefined;
    grant.cancelTimer();
    this.grants.delete(grantId);
    grant.runner.changeCount(grant.lane, grant.isAdopted, -1);
    return grant;
  }

  /** Removes all grants and stops their timers. */
  clear(): void {
    for (const grantId of [...this.grants.keys()]) this.remove(grantId);
  }

  /** Returns the outstanding grants with their remaining times. */
  report(): OutstandingGrant[] {
    const nowMs = this.clock.monotonicMs();
    return [...this.grants.values()].map((entry) => ({
      grantId: entry.grant.grantId,
      runner: entry.grant.runner,
      service: entry.service,
      lane: entry.lane,
      holder: entry.holder,
      remainingMs: Math.max(0, entry.deadlineAtMs - nowMs),
    }));
  }
}
