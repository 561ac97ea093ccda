import type { Lane } from '@acaciahoist/slot-pool/lane';

/** A queue of requests for a number of slots; prompt requests go first. */
export class SlotQueue {
  /** `slots` holds the address of the runner of each slot. */
  static create(slots: readonly string[]): SlotQueue {
    return new SlotQueue([...slots]);
  }

  private readonly waiting: Record<Lane, ((runner: string) => void)[]> = { prompt: [], heavy: [] };

  private constructor(private readonly freeSlots: string[]) {}

  /** Waits for a free slot and returns the address of its runner. */
  acquire(lane: Lane): Promise<string> {
    const runner = this.freeSlots.shift();
    if (runner !== undefined) return Promise.resolve(runner);
    return new Promise((resolve) => this.waiting[lane].push(resolve));
  }

  release(runner: string): void {
    const next = this.waiting.prompt.shift() ?? this.waiting.heavy.shift();
    if (next === undefined) this.freeSlots.push(runner);
    else next(runner);
  }
}
