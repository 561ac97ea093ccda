import type { Declaration } from '@acaciahoist/types/declaration';
import type { PartitionView } from '@acaciahoist/types/partition-view';
import type { Vm } from '@acaciahoist/types/vm';
import type { EntryContext } from './entry-context.js';
import { listServiceJobs } from './list-service-jobs.js';
import { PartitionHost } from './partition-host.js';
import type { PartitionInputs } from './partition-inputs.js';
import { PartitionLayout } from './partition-layout.js';

type HostOptions = Parameters<typeof PartitionHost.create>[0];

interface Options extends Pick<HostOptions, 'slotAccess' | 'callPeer' | 'isStopping'> {
  context: EntryContext;
  /** Returns the VM list. It is a hint: a VM that is missing may still run. */
  listVms: () => readonly Vm[];
}

/** Manages the partitions of the data centre, each of which this process follows or owns. */
export class PartitionSet {
  static create(options: Options): PartitionSet {
    return new PartitionSet(options);
  }

  private readonly hosts = new Map<string, PartitionHost>();
  private declaration: Declaration | undefined;
  /** Runners by partition as of the last `updateHosts`, so that `countRunners` does not scan the VM list. */
  private readonly runnersByPartition = new Map<string, PartitionInputs['runners']>();
  private partitionLayout = PartitionLayout.create({ dataCentres: [] });

  private constructor(private readonly options: Options) {}

  currentLayout(): PartitionLayout {
    return this.partitionLayout;
  }

  currentDeclaration(): Declaration | undefined {
    return this.declaration;
  }

  /** Puts a declaration in force: follows the partitions of the data centre and updates the owned ones. */
  applyDeclaration(declaration: Declaration): void {
    this.declaration = declaration;
    this.partitionLayout = PartitionLayout.create(declaration);
    const { context, isStopping } = this.options;
    for (const partition of this.partitionLayout.listInDataCentre(context.settings.dataCentre)) {
      // `releaseAll` would not release a partition that is added after it.
      if (!this.hosts.has(partition) && !isStopping())
        this.followPartition(partition, declaration.period);
    }
    this.updateHosts();
  }

  /** Updates the owned partitions with the current declaration and VM list. */
  updateHosts(): void {
    for (const [partition, host] of this.hosts) {
      const inputs = this.createInputs(partition);
      if (inputs === undefined) continue;
      this.runnersByPartition.set(partition, inputs.runners);
      host.update(inputs);
    }
  }

  /** Counts the live runners of a service that belong to a partition of the data centre. */
  countRunners(partition: string, service: string): number {
    const runners = this.runnersByPartition.get(partition) ?? [];
    return runners.filter(({ state, services }) => state === 'live' && services.includes(service))
      .length;
  }

  findHost(partition: string): PartitionHost | undefined {
    return this.hosts.get(partition);
  }

  listOwnedViews(): readonly PartitionView[] {
    return [...this.hosts.values()]
      .map((host) => host.createView())
      .filter((view) => view !== undefined);
  }

  async releaseAll(): Promise<void> {
    await Promise.all([...this.hosts.values()].map((host) => host.release()));
  }

  describe(): readonly Record<string, unknown>[] {
    return [...this.hosts.values()].map((host) => host.describe());
  }

  private followPartition(partition: string, periodLength: Declaration['period']): void {
    const host = PartitionHost.create({
      ...this.options,
      partition,
      createInputs: () => this.createInputs(partition),
      computeCommitIntervalMs: () => this.computeCommitIntervalMs(),
      periodLength,
    });
    this.hosts.set(partition, host);
    void host.start();
  }

  /** Divides the cell's limit on appends per second among its partitions, each of which has one owner. */
  private computeCommitIntervalMs(): number {
    const { appendsPerSecond, minCommitIntervalMs } = this.options.context.settings;
    const partitions = Math.max(1, this.partitionLayout.listAll().length);
    return Math.max(minCommitIntervalMs, (1_000 * partitions) / appendsPerSecond);
  }

  private createInputs(partition: string): PartitionInputs | undefined {
    const { declaration } = this;
    if (declaration === undefined) return undefined;
    const { dataCentre, region } = this.options.context.settings;
    const vms = this.options
      .listVms()
      .filter(
        (vm) =>
          vm.dataCentre === dataCentre &&
          this.partitionLayout.findByVm(dataCentre, vm.address) === partition,
      );
    const runners = vms.filter((vm) => vm.role === 'runner');
    const workers = vms.filter((vm) => vm.role === 'worker' && vm.resources !== undefined);
    return {
      declaration,
      runners: runners.map(({ address, services, state }) => ({ address, services, state })),
      workers: workers.map(({ address, rack, resources, state }) => ({
        address,
        rack,
        dataCentre,
        region,
        resources: resources ?? { millicores: 0, memoryMib: 0, accelerators: {} },
        leaving: state === 'leaving',
      })),
      services: listServiceJobs(declaration, this.partitionLayout.listAll(), partition),
    };
  }
}
