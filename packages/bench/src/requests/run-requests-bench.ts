import { ProcessCell } from '../cell/process-cell.js';
import { capsulaDeclaration } from './capsula-declaration.js';
import { createEntryRoute } from './create-entry-route.js';
import { createRandom } from './create-random.js';
import { createRunnerRoute } from './create-runner-route.js';
import { driveLoad } from './drive-load.js';
import { HttpCallers } from './http-callers.js';
import { keepBusy } from './keep-busy.js';
import { measurePhase } from './measure-phase.js';
import type { PhaseReport } from './phase-report.js';
import { createRequestLoad } from './create-request-load.js';
import { requestServices } from './request-services.js';
import type { RequestRoute } from './request-route.js';
import type { RequestsBenchReport } from './requests-bench-report.js';
import { SlotQueue } from './slot-queue.js';
import { summarizeBench } from './summarize-bench.js';

const RUNNERS = 30;
const SLOTS_PER_RUNNER = 8;
const SLOTS = RUNNERS * SLOTS_PER_RUNNER;
const DATA_CENTRES = ['dc-a', 'dc-b', 'dc-c', 'dc-d'];
/** Connections of the callers to each entry process, 60 in all. */
const PROMPT_CONNECTIONS = 10;
const HEAVY_CONNECTIONS = 50;
const SEALINGS_PER_SECOND = 20;
/**
 * Covers the start of services and membership. It also covers the 5 s (the longest deadline) after a claim
 * in which an owner may not use its slots yet.
 */
const SETTLE_MS = 8_000;

type ServiceName = keyof typeof requestServices;
type Load = ReturnType<typeof createRequestLoad>;

/**
 * Measures requests through 8 entry processes in 4 data centres on loopback, in comparison with direct calls
 * from one ideal queue and with random routing. Takes about 100 s, with `quick` about 40 s.
 */
export async function runRequestsBench(options: {
  seed: number;
  quick?: boolean;
  /** Flags of Node.js for the entry processes. */
  nodeArgs?: readonly string[];
}): Promise<RequestsBenchReport> {
  const { seed, quick = false, nodeArgs = [] } = options;
  const cell = await ProcessCell.create({
    entries: [...DATA_CENTRES, ...DATA_CENTRES],
    user: 'capsula',
    declaration: capsulaDeclaration(),
    nodeArgs,
    standIn: {
      seed,
      dataCentres: DATA_CENTRES,
      vmList: { lagMs: 100 },
      workers: { count: 30 },
      runners: {
        count: RUNNERS,
        slots: SLOTS_PER_RUNNER,
        services: Object.keys(requestServices),
        serviceMs: Object.fromEntries(
          Object.entries(requestServices).map(([name, { serviceMs }]) => [name, serviceMs]),
        ),
      },
      historyEvents: 1_000_000,
    },
  });
  const callers = {
    prompt: HttpCallers.create(PROMPT_CONNECTIONS),
    heavy: HttpCallers.create(HEAVY_CONNECTIONS),
  };
  try {
    await cell.pause(SETTLE_MS);
    return summarizeBench(seed, await runPhases(cell, callers, seed, quick ? 3_000 : 10_000));
  } finally {
    await callers.prompt.close();
    await callers.heavy.close();
    await cell.stop();
  }
}

async function runPhases(
  cell: ProcessCell,
  callers: { prompt: HttpCallers; heavy: HttpCallers },
  seed: number,
  durationMs: number,
): Promise<Map<string, PhaseReport>> {
  const { runners } = cell.addresses;
  // The slots of the runners alternate, so that the next free slot is rarely at a busy runner.
  const slots = Array.from({ length: SLOTS_PER_RUNNER }, () => runners).flat();
  const sharedQueue = SlotQueue.create(slots);
  const runnerQueues = runners.map((runner) =>
    SlotQueue.create(Array<string>(SLOTS_PER_RUNNER).fill(runner)),
  );
  const random = createRandom(seed);
  const entryRoute = createEntryRoute(cell, callers);
  const directRoute = createRunnerRoute(callers, () => sharedQueue);
  const randomRoute = createRunnerRoute(
    callers,
    () => runnerQueues[Math.floor(random() * runnerQueues.length)] ?? sharedQueue,
  );
  const phases = new Map<string, PhaseReport>();
  let nextEvent = (await cell.events(0)).next;
  const measure = async (name: string, run: Parameters<typeof measurePhase>[4]): Promise<void> => {
    const measured = await measurePhase(cell, name, durationMs, nextEvent, run);
    phases.set(name, measured.report);
    nextEvent = measured.next;
  };
  const measureLoad = async (name: string, load: Load, route: RequestRoute): Promise<void> => {
    await measure(name, () => driveLoad(cell.clock, load, withDeadline(cell, route)));
  };
  const measureOverload = async (name: string, route: RequestRoute): Promise<void> => {
    const send = withDeadline(cell, route);
    const { serviceMs } = requestServices.verification;
    const busy = { name: `${name}-heavy`, durationMs, serviceMs };
    const heavy = { ...busy, callers: HEAVY_CONNECTIONS * cell.entryProcesses.length };
    await measure(name, async () => {
      const results = await Promise.all([
        keepBusy(cell.clock, heavy, send),
        driveLoad(cell.clock, createLoad(name, seed, durationMs, { lookup: 0.05 }), send),
      ]);
      return results.flat();
    });
  };
  const normalShares = { lookup: 0.1, verification: 0.7 };
  const load = (name: string, shares: Shares): Load => createLoad(name, seed, durationMs, shares);
  await measureLoad('warm-up', load('warm-up', normalShares), entryRoute);
  await measure('idle', async () => {
    await cell.pause(durationMs);
    return [];
  });
  await measureLoad('direct', load('direct', normalShares), directRoute);
  await measureLoad('random', load('random', normalShares), randomRoute);
  await measureLoad('normal', load('normal', normalShares), entryRoute);
  await measureLoad('prompt', load('prompt', { lookup: 0.05 }), entryRoute);
  await measureOverload('full', entryRoute);
  await measureOverload('direct-full', directRoute);
  await measureLoad('random-prompt', load('random-prompt', { lookup: 0.05 }), randomRoute);
  await measureOverload('random-full', randomRoute);
  return phases;
}

type Shares = Partial<Record<ServiceName, number>>;

/** Generates requests that need the given shares of all slots; the share of verification includes sealings. */
function createLoad(name: string, seed: number, durationMs: number, shares: Shares): Load {
  const perSecondOf = (service: ServiceName): number =>
    ((shares[service] ?? 0) * SLOTS * 1_000) / requestServices[service].serviceMs;
  const sealings = shares.verification === undefined ? 0 : SEALINGS_PER_SECOND;
  const rates: Record<ServiceName, number> = {
    lookup: perSecondOf('lookup'),
    verification: Math.max(0, perSecondOf('verification') - sealings),
    sealing: sealings,
  };
  const streams = Object.entries(rates).map(([service, perSecond]) => {
    const { lane, serviceMs } = requestServices[service as ServiceName];
    return { service, lane, serviceMs, perSecond };
  });
  return createRequestLoad({ seed, name, durationMs, streams });
}

/** Wraps a route so that a request completed after its deadline has the outcome `late`. */
function withDeadline(cell: ProcessCell, route: RequestRoute): RequestRoute {
  return async (request) => {
    const { deadlineMs } = requestServices[request.service as ServiceName];
    const endMs = cell.clock.monotonicMs() + deadlineMs;
    const outcome = await route(request);
    return outcome === 'completed' && cell.clock.monotonicMs() > endMs ? 'late' : outcome;
  };
}
