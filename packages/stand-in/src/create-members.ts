import { CheckpointStore } from './checkpoint-store.js';
import { Endpoint } from './endpoint.js';
import type { EndpointResponse } from './endpoint-response.js';
import type { EndpointRequest } from './endpoint-request.js';
import type { History } from './history.js';
import { LogService } from './log-service.js';
import type { PlatformMember } from './platform-member.js';
import { Runner } from './runner.js';
import type { Settings } from './settings.js';
import { VmList } from './vm-list.js';
import { Worker } from './worker.js';
import { handleWorkerRequest } from './handle-worker-request.js';

/** Maximum length of a request body; the log's endpoint adds the maximum length of a record. */
const MAX_BODY_BYTES = 8 * 1024 * 1024;

type EndpointOptions = Partial<Parameters<typeof Endpoint.create>[0]>;

type RequestHandler = (request: EndpointRequest) => EndpointResponse | Promise<EndpointResponse>;

/**
 * Creates all members; none listens yet. `handleAdmin` serves the paths that control the platform.
 */
export function createMembers(
  settings: Settings,
  history: History,
  handleAdmin: (request: EndpointRequest) => ReturnType<RequestHandler> | undefined,
): { log: LogService; vmList: VmList; members: PlatformMember[] } {
  const { clock, host, firstPort, dataCentres } = settings;
  let createdCount = 0;
  const createEndpoint = (handle: RequestHandler, options: EndpointOptions = {}): Endpoint => {
    const port = firstPort === 0 ? 0 : firstPort + createdCount;
    createdCount += 1;
    const common = { clock, history, host, port, maxBodyBytes: MAX_BODY_BYTES };
    return Endpoint.create({ ...common, handle, ...options });
  };
  const log = LogService.create(clock, history, settings.log);
  const vmList = VmList.create(clock, settings.vmList.lagMs);
  // Most settings name one address for all platform services, so the log's endpoint serves `/vms`
  // too.
  const handlePlatform: RequestHandler = (request) =>
    request.path === '/vms' ? vmList.handle(request) : log.handle(request);
  const logEndpoint = createEndpoint((request) => handleAdmin(request) ?? handlePlatform(request), {
    faultExemptPaths: ['/control', '/history'],
    maxBodyBytes: settings.log.maxRecordBytes + MAX_BODY_BYTES,
  });
  log.source = () => logEndpoint.address;
  const vmListEndpoint = createEndpoint((request) => vmList.handle(request));
  const members: PlatformMember[] = [
    { kind: 'log', log, endpoint: logEndpoint },
    { kind: 'vm-list', vmList, endpoint: vmListEndpoint },
  ];
  const checkpoints = CheckpointStore.create();
  for (let index = 0; index < settings.workers.count; index += 1) {
    const location = computeLocation(index, dataCentres, settings.workers.perRack);
    members.push(createWorkerMember(settings, history, checkpoints, location, createEndpoint));
  }
  for (let index = 0; index < settings.runners.count; index += 1) {
    const { rack, dataCentre } = computeLocation(index, dataCentres, settings.workers.perRack);
    const { services, maxConnections } = settings.runners;
    const runner = Runner.create(clock, history, settings.runners);
    const handle: RequestHandler = (request) => runner.handle(endpoint, request);
    const endpoint = createEndpoint(handle, { maxConnections });
    const vm = { dataCentre, rack, role: 'runner' as const, services };
    members.push({ kind: 'runner', runner, endpoint, vm });
  }
  return { log, vmList, members };
}

/** Data centre, rack and number within the data centre of one worker or runner. */
interface MemberLocation {
  dataCentre: string;
  rack: string;
  indexInDataCentre: number;
}

/**
 * Assigns members to the data centres in turn; in each data centre they fill one rack after the
 * other.
 */
function computeLocation(
  index: number,
  dataCentres: readonly string[],
  perRack: number,
): MemberLocation {
  const dataCentre = dataCentres[index % dataCentres.length] ?? '';
  const indexInDataCentre = Math.floor(index / dataCentres.length);
  const rack = `${dataCentre}-r${Math.floor(indexInDataCentre / perRack)}`;
  return { dataCentre, rack, indexInDataCentre };
}

/**
 * Creates a worker with its endpoint. The first `accelerated.count` workers of a data centre have
 * accelerators.
 */
function createWorkerMember(
  settings: Settings,
  history: History,
  checkpoints: CheckpointStore,
  location: MemberLocation,
  createEndpoint: (handle: RequestHandler) => Endpoint,
): PlatformMember {
  const { clock, seed, workers } = settings;
  const { rack, dataCentre, indexInDataCentre } = location;
  const isAccelerated = indexInDataCentre < workers.accelerated.count;
  const resources = isAccelerated
    ? { ...workers.resources, accelerators: workers.accelerated.accelerators }
    : workers.resources;
  const handle: RequestHandler = (request) => handleWorkerRequest(worker, endpoint, request);
  const endpoint = createEndpoint(handle);
  const worker = Worker.create({
    clock,
    history,
    checkpoints,
    seed,
    settings: workers,
    resources,
    rack,
    source: () => endpoint.address,
    incarnation: () => endpoint.incarnation,
  });
  const vm = { dataCentre, rack, role: 'worker' as const, services: [], resources };
  return { kind: 'worker', worker, endpoint, vm };
}
