import { requestServices } from './request-services.js';

/** Returns the declaration of Cápsula's deployment: 4 data centres with 2 partitions each. */
export function capsulaDeclaration(): Record<string, unknown> {
  const own = { user: 'capsula', team: 'registry' };
  const called = Object.entries(requestServices).map(([name, service]) => ({
    name,
    ...own,
    dependsOn: ['capsule-index'],
    repeatable: service.repeatable,
    lane: service.lane,
    deadlineMs: service.deadlineMs,
  }));
  const index = {
    name: 'capsule-index',
    ...own,
    instances: 12,
    minRacks: 4,
    resources: { millicores: 4_000, memoryMib: 8_192 },
    repeatable: true,
    lane: 'prompt',
    deadlineMs: 500,
  };
  return {
    dataCentres: ['dc-a', 'dc-b', 'dc-c', 'dc-d'].map((name) => ({
      name,
      region: 'west',
      partitions: 2,
    })),
    users: [{ name: 'capsula', teams: [{ name: 'registry', quotaPerMille: 1_000 }] }],
    services: [index, ...called],
    period: 'month',
    urgentReservePerMille: 100,
  };
}
