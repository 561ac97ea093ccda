import type { StandIn } from '@acaciahoist/stand-in';
import type { StandInSettings } from '@acaciahoist/types/stand-in-settings';

/** Converts checked settings to the options of the simulated platform. */
export function toStandInOptions(settings: StandInSettings): Parameters<typeof StandIn.create>[0] {
  const { listen, dataCentres } = settings;
  const colonIndex = listen.lastIndexOf(':');
  const dataCentreCount = dataCentres.length;
  return {
    host: listen.slice(0, colonIndex),
    firstPort: Number(listen.slice(colonIndex + 1)),
    seed: settings.seed,
    dataCentres: dataCentres.map(({ name }) => name),
    log: { appendsPerSecond: settings.appendsPerSecond, retentionMs: settings.retentionMs },
    vmList: { lagMs: settings.vmListLagMs },
    workers: {
      count: dataCentreCount * settings.workersPerDataCentre,
      perRack: settings.workersPerRack,
      resources: settings.workerResources,
      usageLagMs: settings.usageLagMs,
    },
    runners: {
      count: dataCentreCount * settings.runnersPerDataCentre,
      slots: settings.slotsPerRunner,
      services: settings.services,
      serviceMs: { '*': settings.serviceMs },
    },
  };
}
