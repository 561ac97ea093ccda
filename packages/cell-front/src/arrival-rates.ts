import type { Clock } from '@acaciahoist/clock';

/** Submissions are counted in slots of this length in ms; the rate is that of the newest slots. */
const SLOT_MS = 500;
const SLOTS = 5;

/** Rates at which the jobs of each team arrive at this process over the last two seconds, refused ones included. */
export class ArrivalRates {
  static create(clock: Clock): ArrivalRates {
    return new ArrivalRates(clock);
  }

  /** Number of jobs by slot, by team. */
  private readonly counts = new Map<string, Map<number, number>>();

  private constructor(private readonly clock: Clock) {}

  add(team: string): void {
    let slots = this.counts.get(team);
    if (slots === undefined) this.counts.set(team, (slots = new Map<number, number>()));
    const slot = Math.floor(this.clock.monotonicMs() / SLOT_MS);
    slots.set(slot, (slots.get(slot) ?? 0) + 1);
  }

  /** Lists the teams with submissions, and their jobs per second. */
  list(): (readonly [team: string, jobsPerSecond: number])[] {
    const nowMs = this.clock.monotonicMs();
    const firstSlot = Math.floor(nowMs / SLOT_MS) - SLOTS + 1;
    const seconds = (nowMs - firstSlot * SLOT_MS) / 1_000;
    const rates: (readonly [string, number])[] = [];
    for (const [team, slots] of this.counts) {
      let jobs = 0;
      for (const [slot, count] of slots)
        if (slot < firstSlot) slots.delete(slot);
        else jobs += count;
      if (jobs === 0) this.counts.delete(team);
      else rates.push([team, jobs / seconds]);
    }
    return rates;
  }
}
