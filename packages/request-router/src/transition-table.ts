import { transition } from 'xstate';
import type { AnyStateMachine } from 'xstate';

/**
 * Transitions of a flat xstate machine, computed when the table is created. One `transition` call of
 * xstate takes about 21 µs, and a request makes several transitions.
 */
export class TransitionTable<State extends string, Event extends string> {
  static create<State extends string, Event extends string>(
    machine: AnyStateMachine,
  ): TransitionTable<State, Event> {
    return new TransitionTable(machine);
  }

  readonly initial: State;
  private readonly nextStates = new Map<string, State>();

  private constructor(machine: AnyStateMachine) {
    const initial = machine.getInitialSnapshot(undefined as never) as { value: State };
    this.initial = initial.value;
    for (const state of Object.keys(machine.states)) {
      const snapshot = machine.resolveState({ value: state, context: {} });
      for (const event of machine.events as string[]) {
        const [nextSnapshot] = transition(machine, snapshot, { type: event });
        const isAccepted = machine.states[state]?.config.on?.[event] !== undefined;
        if (isAccepted)
          this.nextStates.set(`${state} ${event}`, (nextSnapshot as { value: State }).value);
      }
    }
  }

  /** Returns the state after the event, or undefined when the state does not accept the event. */
  next(state: State, event: Event): State | undefined {
    return this.nextStates.get(`${state} ${event}`);
  }
}
