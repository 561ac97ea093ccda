import { SystemClock } from '@acaciahoist/clock/system-clock';
import type { Arrival } from './arrival.js';
import { EventClock } from './event-clock.js';
import type { FakeRunner } from './fake-runner.js';
import type { SlotSample } from './slot-sample.js';
import type { SlotSystem } from './slot-system.js';

const WARM_UP_MS = 1_000;

/** Runs a workload against a system on a simulated clock and measures it after the warm-up. */
export async function measureSystem(
  system: string,
  arrivals: readonly Arrival[],
  slots: number,
  setUp: (clock: EventClock) => { serve: SlotSystem; runners: readonly FakeRunner[] },
): Promise<SlotSample> {
  const clock = EventClock.create();
  const { serve, runners } = setUp(clock);
  const addedMs: number[] = [];
  const promptLatenciesMs: number[] = [];
  let refused = 0;
  arrivals.forEach((arrival, index) => {
    clock.after(arrival.atMs, () => {
      void serve(clock, arrival, index).then((isServed) => {
        if (!isServed) refused += 1;
        if (!isServed || arrival.atMs < WARM_UP_MS) return;
        const latencyMs = clock.monotonicMs() - arrival.atMs;
        addedMs.push(latencyMs - arrival.serviceMs);
        if (arrival.lane === 'prompt') promptLatenciesMs.push(latencyMs);
      });
    });
  });
  const lastArrivalAtMs = arrivals.at(-1)?.atMs ?? 0;
  const systemClock = SystemClock.create();
  const startMs = systemClock.monotonicMs();
  await clock.runUntil(WARM_UP_MS);
  const busyBeforeMs = sumBusyMs(runners);
  await clock.runUntil(lastArrivalAtMs);
  const busyMs = sumBusyMs(runners) - busyBeforeMs;
  // The remaining requests have 10 s to end.
  await clock.runUntil(lastArrivalAtMs + 10_000);
  const machineMs = systemClock.monotonicMs() - startMs;
  return {
    system,
    requests: arrivals.length,
    refused,
    utilization: busyMs / (slots * (lastArrivalAtMs - WARM_UP_MS)),
    addedP50Ms: percentile(addedMs, 0.5),
    addedP99Ms: percentile(addedMs, 0.99),
    promptP99Ms: percentile(promptLatenciesMs, 0.99),
    mostAtRunner: Math.max(...runners.map((runner) => runner.mostRequests)),
    machineMicrosPerRequest: (machineMs * 1_000) / arrivals.length,
  };
}

function sumBusyMs(runners: readonly FakeRunner[]): number {
  return runners.reduce((total, runner) => total + runner.totalBusyMs(), 0);
}

function percentile(values: readonly number[], share: number): number {
  const sorted = [...values].sort((left, right) => left - right);
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0;
}
