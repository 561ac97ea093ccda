import type { Fault } from './fault.js';

const ROUNDS = 6;
const ROUND_MS = 400;

/** Makes one worker fail every task that it starts, while jobs keep arriving. */
export const failWorker: Fault = async ({ cell, load }) => {
  const worker = cell.standIn.addresses().workers[0] ?? '';
  await cell.setFault(worker, 'fail-tasks', true);
  for (let round = 0; round < ROUNDS; round += 1) {
    load.submitJobs();
    await cell.pause(ROUND_MS);
  }
  await cell.setFault(worker, 'fail-tasks', false);
  return {};
};
