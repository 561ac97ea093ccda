import { test } from 'node:test';
import { expect } from 'earl';
import { transition } from 'xstate';
import type { AnyStateMachine } from 'xstate';
import { compileTable } from './compile-table.js';
import { jobMachine } from './job-machine.js';
import { reservationMachine } from './reservation-machine.js';
import { taskMachine } from './task-machine.js';
import { workerMachine } from './worker-machine.js';

const machines: AnyStateMachine[] = [jobMachine, taskMachine, workerMachine, reservationMachine];

// Guards against a table that differs from its machine, for example by a dropped self-transition.
for (const machine of machines) {
  test(`the transition table of ${machine.id} agrees with xstate on every state and event`, () => {
    const table = compileTable(machine);
    const events = new Set(table.states().flatMap((state) => machine.states[state]?.ownEvents));
    for (const state of table.states()) {
      for (const event of events as Set<string | undefined>) {
        if (event === undefined) continue;
        const from = machine.resolveState({ value: state, context: {} });
        const to = from.status === 'active' ? transition(machine, from, { type: event })[0] : from;
        const accepted = machine.states[state]?.ownEvents.includes(event) ?? false;
        expect(table.next(state, event)).toEqual(accepted ? (to.value as string) : undefined);
      }
    }
    expect(table.initial).toEqual(machine.root.initial.target[0]?.key ?? '');
  });
}
