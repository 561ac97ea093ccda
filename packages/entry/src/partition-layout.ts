import { createHash } from 'node:crypto';
import type { Declaration } from '@acaciahoist/types/declaration';
import type { PartitionId } from '@acaciahoist/types/partition-id';

/** VMs whose partition is kept; more only cost hashes again. */
const MAX_CACHED_VMS = 10_000;

/** Which partition owns a key or a VM. The same in every process for the same layout. */
export class PartitionLayout {
  static create(declaration: Pick<Declaration, 'dataCentres'>): PartitionLayout {
    const byDataCentre = new Map(
      declaration.dataCentres.map(({ name, partitions }) => [
        name,
        Array.from({ length: partitions }, (_, index) => `${name}.${index}`),
      ]),
    );
    return new PartitionLayout(byDataCentre);
  }

  /** Partitions of VMs found so far. Each takes a hash for every partition, and every reading of the VM list asks for all. */
  private readonly partitionByVm = new Map<string, PartitionId | undefined>();

  private constructor(
    private readonly partitionsByDataCentre: ReadonlyMap<string, readonly PartitionId[]>,
  ) {}

  /** All partitions of the cell. */
  all(): readonly PartitionId[] {
    return [...this.partitionsByDataCentre.values()].flat();
  }

  ofDataCentre(dataCentre: string): readonly PartitionId[] {
    return this.partitionsByDataCentre.get(dataCentre) ?? [];
  }

  /** The partition of an idempotency key, by rendezvous hashing over the cell. */
  forKey(key: string): PartitionId | undefined {
    return selectByHash(this.all(), key);
  }

  /** The partition of a runner or worker, by rendezvous hashing over its data centre. */
  forVm(dataCentre: string, address: string): PartitionId | undefined {
    const cacheKey = `${dataCentre}\n${address}`;
    if (this.partitionByVm.has(cacheKey)) return this.partitionByVm.get(cacheKey);
    if (this.partitionByVm.size >= MAX_CACHED_VMS) this.partitionByVm.clear();
    const partition = selectByHash(this.ofDataCentre(dataCentre), address);
    this.partitionByVm.set(cacheKey, partition);
    return partition;
  }
}

function selectByHash(partitions: readonly PartitionId[], name: string): PartitionId | undefined {
  let best: PartitionId | undefined;
  let bestWeight = '';
  for (const partition of partitions) {
    const weight = createHash('sha256').update(`${partition}\n${name}`).digest('hex');
    if (best !== undefined && weight <= bestWeight) continue;
    best = partition;
    bestWeight = weight;
  }
  return best;
}
