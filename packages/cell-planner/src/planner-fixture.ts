import type { CellStep } from '@acaciahoist/cell-types/cell-step';
import { plainStep } from '@acaciahoist/cell-types/plain-step';
import { createOccupancy } from './create-occupancy.js';
import type { PlannedTeam } from './planned-team.js';
import type { PlannedTeams } from './planned-teams.js';
import type { PlannedWorker } from './planned-worker.js';
import type { ReadyStep } from './ready-step.js';
import type { StepAdvice } from './step-advice.js';

/** Creates steps, workers and advice for tests of the planner. */
export const plannerFixture = {
  createWorker(
    id: string,
    overrides: Partial<PlannedWorker> & { freeMillicores?: number } = {},
  ): PlannedWorker {
    const total = { millicores: 32_000, memoryMib: 65_536, accelerators: 0 };
    const { freeMillicores, ...rest } = overrides;
    return {
      id,
      service: 'work',
      rack: 'r0',
      labels: [],
      total,
      free: { ...total, millicores: freeMillicores ?? total.millicores },
      eventuallyFree: rest.total ?? total,
      listRuns: () => [],
      acceptsStarts: true,
      isOnProbation: false,
      isLastResort: rest.isOnProbation ?? false,
      occupancy: createOccupancy(),
      images: undefined,
      speed: undefined,
      ...rest,
    };
  },

  createStep(
    key: string,
    overrides: Partial<Omit<ReadyStep, 'step'>> & { step?: Partial<CellStep> } = {},
  ): ReadyStep {
    const { step, ...rest } = overrides;
    const count = step?.count ?? 1;
    return {
      key,
      queue: { name: 'q', service: 'work', priority: 1, maxAttempts: 2, stretch: 2, baseMs: 1_000 },
      team: undefined,
      isExcess: false,
      waitingTasks: Array.from({ length: count }, (_, index) => index),
      tasksByWorker: new Map(),
      failedRuns: new Map(),
      dueMs: 0,
      objectiveAtMs: 5_000,
      remainingMs: 1_000,
      hasSuccessors: false,
      advice: undefined,
      step: { ...plainStep, estimateMs: 1_000, ...step },
      ...rest,
    };
  },

  createAdvice(overrides: Partial<StepAdvice> = {}): StepAdvice {
    return {
      allowed: new Map(),
      denied: new Set(),
      isOutstanding: false,
      isAnswered: true,
      ...overrides,
    };
  },

  /** Teams with these fields, each with a weight of 1, without a quota and with nothing running unless given. */
  createTeams(
    teams: readonly (Partial<Omit<PlannedTeam, 'name'>> & Pick<PlannedTeam, 'name'>)[],
    overrides: Partial<PlannedTeams> = {},
  ): PlannedTeams {
    return {
      teams: teams.map((team) => ({
        weight: 1,
        quota: { millicores: 0, memoryMib: 0, accelerators: 0 },
        used: { millicores: 0, memoryMib: 0, accelerators: 0 },
        lasting: { millicores: 0, memoryMib: 0, accelerators: 0 },
        ...team,
      })),
      usedByAll: { millicores: 0, memoryMib: 0, accelerators: 0 },
      isShort: false,
      ...overrides,
    };
  },

  /** Terms of a queue whose steps need advice. */
  createAdvisedQueue(priority = 1): ReadyStep['queue'] {
    return {
      name: 'q',
      service: 'work',
      priority,
      maxAttempts: 2,
      stretch: 2,
      baseMs: 1_000,
      advice: { decisionMs: 100, perWorkerMs: 1, ticketMs: 2_000 },
    };
  },
};
