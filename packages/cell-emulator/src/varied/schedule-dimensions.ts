import { planBestEffortBurst } from './plan-best-effort-burst.js';
import { planChangingQueues } from './plan-changing-queues.js';
import { planFrozenFront } from './plan-frozen-front.js';
import { planGangBesideServing } from './plan-gang-beside-serving.js';
import { planGangsBesideDueJobs } from './plan-gangs-beside-due-jobs.js';
import { planHugeJobs } from './plan-huge-jobs.js';
import { planLateJobs } from './plan-late-jobs.js';
import { planLongTasks } from './plan-long-tasks.js';
import { planLostWorker } from './plan-lost-worker.js';
import { planOvertakingCancels } from './plan-overtaking-cancels.js';
import { planReturningWorker } from './plan-returning-worker.js';
import { planTeams } from './plan-teams.js';
import { planUnequalWorkers } from './plan-unequal-workers.js';
import type { ScheduleDimension } from './schedule-dimension.js';

/**
 * Dimensions of varied schedules. A name seeds the numbers of its dimension, so that a new one changes no seeded
 * schedule in which it does not occur. Huge jobs are rare because they take the most time.
 */
export const scheduleDimensions: readonly ScheduleDimension[] = [
  { name: 'unequal-workers', share: 0.3, plan: planUnequalWorkers },
  { name: 'returning-worker', share: 0.3, plan: planReturningWorker },
  { name: 'lost-worker', share: 0.15, excludesFaults: true, plan: planLostWorker },
  { name: 'changing-queues', share: 0.3, plan: planChangingQueues },
  { name: 'frozen-front', share: 0.25, plan: planFrozenFront },
  { name: 'overtaking-cancels', share: 0.25, plan: planOvertakingCancels },
  { name: 'gang-beside-serving', share: 0.2, plan: planGangBesideServing },
  { name: 'best-effort-burst', share: 0.2, plan: planBestEffortBurst },
  { name: 'long-tasks', share: 0.25, plan: planLongTasks },
  { name: 'gangs-beside-due-jobs', share: 0.3, plan: planGangsBesideDueJobs },
  { name: 'huge-jobs', share: 0.08, plan: planHugeJobs },
  { name: 'late-jobs', share: 0.4, plan: planLateJobs },
  { name: 'teams', share: 0.25, plan: planTeams },
];
