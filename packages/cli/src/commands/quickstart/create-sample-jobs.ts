import type { JobSpec } from '@acaciahoist/types/job-spec';

/** The jobs of the quickstart with the outcome that each must have. */
export const createSampleJobs = (
  nowMs: number,
): readonly { title: string; spec: JobSpec; expected: string; cancel?: boolean }[] => {
  const auroraTeam = { user: 'luz-norte', team: 'aurora', repeatable: true, urgent: false };
  const size = { millicores: 2_000, memoryMib: 1_024, accelerators: {} };
  return [
    {
      title: 'batch: tariff recalculation, 6 tasks',
      expected: 'completed',
      spec: {
        ...auroraTeam,
        family: 'recalculation',
        kind: 'batch',
        groups: [{ name: 'part', count: 6, resources: size }],
        runMs: 800,
      },
    },
    {
      title: 'batch of the other partner',
      expected: 'completed',
      spec: {
        ...auroraTeam,
        team: 'boreal',
        family: 'billing',
        kind: 'batch',
        groups: [{ name: 'part', count: 4, resources: size }],
        runMs: 600,
      },
    },
    {
      title: 'gang: forecast, 1 leader and 4 members, all or none',
      expected: 'completed',
      spec: {
        ...auroraTeam,
        family: 'forecast',
        kind: 'gang',
        groups: [
          { name: 'leader', count: 1, resources: { ...size, memoryMib: 4_096 } },
          { name: 'member', count: 4, resources: size },
        ],
        runMs: 700,
      },
    },
    {
      title: 'urgent: fault triage',
      expected: 'completed',
      spec: {
        ...auroraTeam,
        urgent: true,
        family: 'triage',
        kind: 'batch',
        groups: [{ name: 'run', count: 1, resources: size }],
        runMs: 200,
      },
    },
    {
      title: 'scheduled: opening in 3 s, at most once',
      expected: 'completed',
      spec: {
        family: 'opening',
        user: 'capsula',
        team: 'registry',
        kind: 'batch',
        groups: [{ name: 'opening', count: 1, resources: size }],
        runMs: 200,
        urgent: false,
        repeatable: false,
        key: 'opening-1912',
        startAtMs: nowMs + 3_000,
      },
    },
    {
      title: 'impossible: needs more memory than any worker has',
      expected: 'refused',
      spec: {
        ...auroraTeam,
        family: 'impossible',
        kind: 'batch',
        groups: [{ name: 'run', count: 1, resources: { ...size, memoryMib: 1_000_000 } }],
        runMs: 100,
      },
    },
    {
      title: 'cancelled: long simulation',
      expected: 'cancelled',
      cancel: true,
      spec: {
        ...auroraTeam,
        family: 'simulation',
        kind: 'batch',
        groups: [{ name: 'run', count: 2, resources: size }],
        runMs: 600_000,
      },
    },
  ];
};
