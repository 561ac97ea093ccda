import type { TransitionTable } from './transition-table.js';

/** Current state of one request or runner, which changes by the events of a transition table. */
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

  /** Applies an event. Throws when the current state does not accept it, which is a bug. */
  transition(event: Event): void {
    const next = this.table.next(this.current, event);
    if (next === undefined)
      throw new Error(`Event ${event} is not allowed in state ${this.current}.`);
    this.current = next;
  }
}
