import type { JobSpec } from '@acaciahoist/types/job-spec';

/** Creates the jobs of the quickstart, each with the outcome that it must have. */
export const createSampleJobs = (
  nowMs: number,
): readonly { title: string; spec: JobSpec; expected: string; cancel?: boolean }[] => {
  const luzNorteDefaults = { user: 'luz-norte', team: 'aurora', repeatable: true, urgent: false };
  const size = { millicores: 2_000, memoryMib: 1_024, accelerators: {} };
  return [
    {
      title: 'batch: tariff recalculation, 6 tasks',
      expected: 'completed',
      spec: {
        ...luzNorteDefaults,
        family: 'recalculation',
        kind: 'batch',
        groups: [{ name: 'part', count: 6, resources: size }],
        runMs: 800,
      },
    },
    {
      title: 'batch: billing of another team, 4 tasks',
      expected: 'completed',
      spec: {
        ...luzNorteDefaults,
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
        ...luzNorteDefaults,
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
        ...luzNorteDefaults,
        urgent: true,
        family: 'triage',
        kind: 'batch',
        groups: [{ name: 'run', count: 1, resources: size }],
        runMs: 200,
      },
    },
    {
      title: 'scheduled: opening that starts in 3 s and runs at most once',
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
        ...luzNorteDefaults,
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
        ...luzNorteDefaults,
        family: 'simulation',
        kind: 'batch',
        groups: [{ name: 'run', count: 2, resources: size }],
        runMs: 600_000,
      },
    },
  ];
};
