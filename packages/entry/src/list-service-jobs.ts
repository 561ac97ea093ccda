import type { ServiceJob } from '@acaciahoist/partition-owner/service-job';
import type { Declaration } from '@acaciahoist/types/declaration';
import type { ServiceDeclaration } from '@acaciahoist/types/service-declaration';
import { JobKind } from '@acaciahoist/types/job-kind';

/**
 * Lists the services of which one partition keeps instances running. The instances of a service are distributed
 * evenly over all partitions, so that the loss of a data centre stops as few of them as possible.
 */
export function listServiceJobs(
  declaration: Declaration,
  partitions: readonly string[],
  partition: string,
): readonly ServiceJob[] {
  const index = partitions.indexOf(partition);
  const countInstances = (service: ServiceDeclaration): number =>
    Math.floor((service.instances + partitions.length - 1 - index) / partitions.length);
  const placedServices = declaration.services.filter(
    (service) => service.kind === JobKind.service && countInstances(service) > 0,
  );
  const placedNames = new Set(placedServices.map((service) => service.name));
  return placedServices.map((service) => ({
    spec: {
      family: service.name,
      user: service.user,
      team: service.team,
      kind: JobKind.service,
      groups: [{ name: 'instance', count: countInstances(service), resources: service.resources }],
      urgent: false,
      repeatable: true,
      // A dependency without an instance in this partition runs in another partition.
      dependsOn: service.dependsOn.filter((name) => placedNames.has(name)),
    },
  }));
}
