import { createHash } from 'node:crypto';
import type { Declaration } from '@acaciahoist/types/declaration';
import type { PartitionId } from '@acaciahoist/types/partition-id';

/** Number of VMs at which the cache is cleared. Clearing it costs only the time to hash the VMs again. */
const MAX_CACHED_VMS = 10_000;

/** Assigns keys and VMs to partitions, in the same way in every process with the same declaration. */
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

  /**
   * Cache of the partitions of VMs: each read of the VM list looks up all VMs, and a lookup computes one hash
   * per partition.
   */
  private readonly partitionByVm = new Map<string, PartitionId | undefined>();

  private constructor(
    private readonly partitionsByDataCentre: ReadonlyMap<string, readonly PartitionId[]>,
  ) {}

  /** Lists all partitions of the cell. */
  listAll(): readonly PartitionId[] {
    return [...this.partitionsByDataCentre.values()].flat();
  }

  listInDataCentre(dataCentre: string): readonly PartitionId[] {
    return this.partitionsByDataCentre.get(dataCentre) ?? [];
  }

  /** Returns the partition of an idempotency key, by rendezvous hashing over all partitions of the cell. */
  findByKey(key: string): PartitionId | undefined {
    return selectByHash(this.listAll(), key);
  }

  /** Returns the partition of a VM, by rendezvous hashing over the partitions of its data centre. */
  findByVm(dataCentre: string, address: string): PartitionId | undefined {
    const cacheKey = `${dataCentre}\n${address}`;
    if (this.partitionByVm.has(cacheKey)) return this.partitionByVm.get(cacheKey);
    if (this.partitionByVm.size >= MAX_CACHED_VMS) this.partitionByVm.clear();
    const partition = selectByHash(this.listInDataCentre(dataCentre), address);
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
