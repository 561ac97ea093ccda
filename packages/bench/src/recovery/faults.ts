import { cancelBurst } from './cancel-burst.js';
import { combineFaults } from './combine-faults.js';
import { createLinkFault } from './create-link-fault.js';
import { createLogFault } from './create-log-fault.js';
import { failWorker } from './fail-worker.js';
import { createConnectionFault } from './create-connection-fault.js';
import type { Fault } from './fault.js';
import { killOwner } from './kill-owner.js';
import { killOwnerDuringScheduledStarts } from './kill-owner-during-scheduled-starts.js';
import { loseLogResponses } from './lose-log-responses.js';
import { markRunnerLeaving } from './mark-runner-leaving.js';
import { pauseOwner } from './pause-owner.js';
import { publishConcurrently } from './publish-concurrently.js';
import { replaceAllAtOnce } from './replace-all-at-once.js';
import { replaceOneByOne } from './replace-one-by-one.js';
import { stopOwner } from './stop-owner.js';

/** Longer than a lease, so that owners enter their hold time, after the lease and before another claim. */
const OUTAGE_MS = 3_500;

/** The faults of the recovery test and bench by name. */
export const faults: Readonly<Record<string, Fault>> = {
  'kill -9 of the owner': killOwner,
  'kill -9 of the owner while scheduled jobs start': killOwnerDuringScheduledStarts,
  'planned stop with a second SIGTERM': stopOwner,
  'concurrent publications': publishConcurrently,
  'pause of the owner past its lease': pauseOwner,
  'log down': createLogFault({ fault: 'outage', on: 'refuse', off: 'none', durationMs: OUTAGE_MS }),
  'log silent': createLogFault({
    fault: 'outage',
    on: 'silent',
    off: 'none',
    durationMs: OUTAGE_MS,
  }),
  'log slow': createLogFault({ fault: 'slow', on: 300, off: 0, durationMs: OUTAGE_MS }),
  'responses of the log lost': loseLogResponses,
  'owner cut off from the platform': createLinkFault('request', OUTAGE_MS),
  'responses of the platform to the owner lost': createLinkFault('response', OUTAGE_MS),
  'all processes replaced one after another': replaceOneByOne,
  'all processes killed at once': replaceAllAtOnce,
  'kill -9 of the owner while log responses are lost': combineFaults(killOwner, loseLogResponses),
  'burst of cancellations': cancelBurst,
  'worker that fails everything': failWorker,
  'connections that lose requests': createConnectionFault('request'),
  'connections that lose responses': createConnectionFault('response'),
  'runner listed as leaving': markRunnerLeaving,
};
