import type { Fault } from './fault.js';

/** Notice before the platform stops the runner; longer than the observation. */
const NOTICE_MS = 20_000;
/** Lag of the VM list in the cell. The measurement starts when the list shows the change. */
const LIST_LAG_MS = 100;
const OBSERVATION_MS = 4_500;

/** Marks a runner as leaving; measures the time from its listing as leaving until its last new request. */
export const markRunnerLeaving: Fault = async ({ cell }) => {
  const runner = cell.standIn.addresses().runners[0] ?? '';
  await cell.setFault(runner, 'leave', NOTICE_MS);
  const markedAtMs = cell.clock.monotonicMs();
  await cell.pause(LIST_LAG_MS);
  cell.observe({ type: 'endpoint-leaving', endpoint: runner });
  await cell.pause(OBSERVATION_MS);
  const lastRequest = cell.standIn.history
    .ofType('request-began')
    .filter((event) => event.source === runner && event.atMs > markedAtMs + LIST_LAG_MS)
    .at(-1);
  const leavingStopMs = lastRequest === undefined ? 0 : lastRequest.atMs - markedAtMs - LIST_LAG_MS;
  return { leavingStopMs, listLagMs: LIST_LAG_MS };
};
