import { requestServices } from './request-services.js';

/** Returns the declaration of Cápsula's deployment: 4 data centres with 2 partitions each. */
export function capsulaDeclaration(): Record<string, unknown> {
  const ownership = { user: 'capsula', team: 'registry' };
  const calledServices = Object.entries(requestServices).map(([name, service]) => ({
    name,
    ...ownership,
    dependsOn: ['capsule-index'],
    repeatable: service.repeatable,
    lane: service.lane,
    deadlineMs: service.deadlineMs,
  }));
  const indexService = {
    name: 'capsule-index',
    ...ownership,
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
    services: [indexService, ...calledServices],
    period: 'month',
    urgentReservePerMille: 100,
  };
}
