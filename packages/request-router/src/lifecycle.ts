import type { TransitionTable } from './transition-table.js';

/** The state of one request or runner. */
export class Lifecycle<State extends string, Event extends string> {
  static create<State extends string, Event extends string>(
    table: TransitionTable<State, Event>,
  ): Lifecycle<State, Event> {
    return new Lifecycle(table);
  }

  private current: State;

  private constructor(private readonly table: TransitionTable<State, Event>) {
    this.current = table.initial;
  }

  state(): State {
    return this.current;
  }

  /** Throws on an event that the state does not allow; that is a fault in the program. */
  move(event: Event): void {
    const next = this.table.findNext(this.current, event);
    if (next === undefined) throw new Error(`${event} is not allowed in state ${this.current}.`);
    this.current = next;
  }
}
