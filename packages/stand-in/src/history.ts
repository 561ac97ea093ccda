import type { Clock } from '@acaciahoist/clock';
import type { HistoryEvent } from './history-event.js';

/** An event with its position in the history, its monotonic time and the address of its member. */
type RecordedEvent = HistoryEvent & { sequence: number; atMs: number; source: string };

/** The events of all members in one sequence. Keeps at least the latest `capacity` events. */
export class History {
  static create(clock: Clock, capacity: number): History {
    return new History(clock, capacity);
  }

  private events: RecordedEvent[] = [];
  /** Sequence number of `events[0]`. */
  private firstSequence = 0;
  private readonly countByType = new Map<string, number>();
  private readonly listeners = new Set<() => void>();

  private constructor(
    private readonly clock: Clock,
    private readonly capacity: number,
  ) {}

  /** Adds an event of the member with the address `source`. */
  add(source: string, event: HistoryEvent): void {
    this.countByType.set(event.type, this.count(event.type) + 1);
    const sequence = this.firstSequence + this.events.length;
    this.events.push({ sequence, atMs: this.clock.monotonicMs(), source, ...event });
    // Removing from the front copies the array, so a quarter of the capacity is removed at a time.
    if (this.events.length > this.capacity * 1.25) {
      const excess = this.events.length - this.capacity;
      this.events = this.events.slice(excess);
      this.firstSequence += excess;
    }
    for (const notify of this.listeners) notify();
  }

  /**
   * Reads the events from `from` on. A first event with a higher sequence shows that older ones
   * were dropped.
   */
  read(from: number, limit: number): { events: readonly RecordedEvent[]; next: number } {
    const start = Math.max(0, from - this.firstSequence);
    const events = this.events.slice(start, start + limit);
    return { events, next: Math.max(from, (events.at(-1)?.sequence ?? from - 1) + 1) };
  }

  /** Counts the events of one type since the start, dropped ones included. */
  count(type: HistoryEvent['type']): number {
    return this.countByType.get(type) ?? 0;
  }

  /** Returns the counts of all types that occurred. */
  counts(): Readonly<Record<string, number>> {
    return Object.fromEntries(this.countByType);
  }

  /** Returns the kept events of one type. */
  ofType<T extends HistoryEvent['type']>(type: T): Extract<RecordedEvent, { type: T }>[] {
    return this.events.filter(
      (event): event is Extract<RecordedEvent, { type: T }> => event.type === type,
    );
  }

  /**
   * Waits until `check` returns true; it is called after each event. Returns false after
   * `timeoutMs`.
   */
  waitFor(check: () => boolean, timeoutMs: number): Promise<boolean> {
    if (check()) return Promise.resolve(true);
    return new Promise((resolve) => {
      const finish = (result: boolean): void => {
        cancelTimer();
        this.listeners.delete(listener);
        resolve(result);
      };
      const listener = (): void => {
        if (check()) finish(true);
      };
      const cancelTimer = this.clock.after(timeoutMs, () => {
        finish(false);
      });
      this.listeners.add(listener);
    });
  }
}
