import type { Fault } from './fault.js';

const LOST_RESPONSES = 15;
const OBSERVATION_MS = 2_000;

/**
 * Makes the log accept appends and lose the responses: first it never sends them, then it closes the
 * connections instead.
 */
export const loseLogResponses: Fault = async ({ cell }) => {
  const { log } = cell.standIn.addresses();
  for (const how of ['withhold', 'close']) {
    await cell.setFault(log, 'lose-responses', { count: LOST_RESPONSES, how });
    await cell.pause(OBSERVATION_MS);
  }
  await cell.waitUntil(
    'an owner of each partition after the fault',
    async () => (await cell.owners()).size === 2,
  );
  return {};
};
