import type { AnyStateMachine } from 'xstate';
import { TransitionTable } from './transition-table.js';

/** Compiles the transitions of a flat machine (without guards and nested states) into a table. */
export function compileTable<State extends string, Event extends string>(
  machine: AnyStateMachine,
): TransitionTable<State, Event> {
  const rows: Record<string, Record<string, string>> = {};
  for (const [name, node] of Object.entries(machine.states)) {
    const row: Record<string, string> = {};
    for (const [event, transitions] of node.transitions) {
      const target = transitions[0]?.target?.[0];
      row[event] = target?.key ?? name;
    }
    rows[name] = row;
  }
  const initial = machine.root.initial.target[0]?.key;
  if (initial === undefined) throw new Error(`machine ${machine.id} has no initial state`);
  return TransitionTable.create(
    machine.id,
    initial as State,
    rows as Record<State, Record<Event, State>>,
  );
}
