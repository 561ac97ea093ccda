import type { Random } from '@acaciahoist/random';
import type { WorkloadFamily } from './workload-family.js';

const MILLICORES = [500, 1_000, 2_000, 4_000, 8_000] as const;
const MEMORY_MIB_PER_CORE = [1_024, 1_536, 2_048, 3_072, 4_096] as const;

function createFamily(random: Random, name: string, team: string): WorkloadFamily {
  const millicores = random.pickSkewed(MILLICORES);
  const mibPerCore =
    MEMORY_MIB_PER_CORE[random.integer(0, MEMORY_MIB_PER_CORE.length - 1)] ?? 2_048;
  return {
    name,
    team,
    kind: 'batch',
    urgent: false,
    scheduled: false,
    tasks: random.pickSkewed([1, 2, 4, 8, 16, 32]),
    declared: {
      millicores,
      memoryMib: Math.round((millicores * mibPerCore) / 1_000),
      accelerators: {},
    },
    declaredRunMs: random.integer(10_000, 40_000),
    sizeFactor: random.logUniformFactor(),
    runFactor: random.logUniformFactor(),
    broken: false,
  };
}

/**
 * Creates families of all kinds. Each team has 4 families of batch jobs and one each of services, urgent
 * jobs and gangs; the first team also has one of scheduled and one of failing jobs.
 */
export function createFamilies(random: Random, teams: readonly string[]): WorkloadFamily[] {
  const families: WorkloadFamily[] = [];
  teams.forEach((team, index) => {
    for (let i = 0; i < 4; i += 1) {
      families.push(createFamily(random, `${team}-batch-${i}`, team));
    }
    const service = createFamily(random, `${team}-service`, team);
    families.push({ ...service, kind: 'service', tasks: 10, sizeFactor: 1, runFactor: 1 });
    const urgent = createFamily(random, `${team}-urgent`, team);
    const smallResources = { millicores: 1_000, memoryMib: 2_048, accelerators: {} };
    const runMs = random.integer(3_000, 15_000);
    families.push({
      ...urgent,
      urgent: true,
      tasks: 1,
      declared: smallResources,
      declaredRunMs: runMs,
    });
    const gang = createFamily(random, `${team}-gang`, team);
    const accelerators: Record<string, number> =
      index % 3 === 0 ? { [index % 2 === 0 ? 'large' : 'small']: 2 } : {};
    const declared = { ...gang.declared, accelerators };
    families.push({ ...gang, kind: 'gang', tasks: random.integer(4, 48), declared });
  });
  const firstTeam = teams[0] ?? '';
  families.push({ ...createFamily(random, 'scheduled', firstTeam), scheduled: true, tasks: 1 });
  families.push({ ...createFamily(random, 'broken', firstTeam), broken: true, tasks: 2 });
  return families;
}
