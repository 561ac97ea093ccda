import { loadavg } from 'node:os';
import type { PlatformEvent } from '../cell/platform-event.js';
import type { ProcessCell } from '../cell/process-cell.js';
import { percentile } from '../placement/percentile.js';
import type { PhaseReport } from './phase-report.js';
import type { RequestResult } from './request-result.js';
import { summarizeRuns } from './summarize-runs.js';

/**
 * Runs one phase and reports its figures from the callers, the platform and /proc. `firstEvent` is the
 * position in the platform's history from which the events of the phase are read; `next` is the position
 * after them.
 */
export async function measurePhase(
  cell: ProcessCell,
  name: string,
  durationMs: number,
  firstEvent: number,
  run: () => Promise<RequestResult[]>,
): Promise<{ report: PhaseReport; next: number }> {
  const { clock } = cell;
  const peerBytesBefore = await cell.peerBytes();
  const usageBefore = await cell.usage();
  const startMs = clock.monotonicMs();
  const results = await run();
  const seconds = (clock.monotonicMs() - startMs) / 1_000;
  const usageAfter = await cell.usage();
  const peerBytesAfter = await cell.peerBytes();
  const { events, next } = await cell.events(firstEvent);
  const perProcess = usageAfter.map((usage, index) => {
    const processUsageBefore = usageBefore[index] ?? usage;
    const bytes =
      usage.readBytes +
      usage.writtenBytes -
      processUsageBefore.readBytes -
      processUsageBefore.writtenBytes;
    const cpuMs = usage.cpuMs - processUsageBefore.cpuMs;
    return { cpu: cpuMs / seconds / 10, bytes: bytes / seconds, rss: usage.rssMib };
  });
  const runs = summarizeRuns(events, results, durationMs);
  const report: PhaseReport = {
    name,
    requests: results.length,
    ...summarizeLatencies(results),
    requestsPerSecond: round(results.length / seconds),
    outcomes: countOutcomes(results),
    ...runs,
    busySlots: round(runs.busySlots),
    appendsPerSecond: round(events.filter(isAppended).length / seconds),
    cpuPercent: meanAndGreatest(perProcess.map(({ cpu }) => cpu)),
    bytesPerSecond: meanAndGreatest(perProcess.map(({ bytes }) => bytes)),
    peerBytesPerSecond: round((peerBytesAfter - peerBytesBefore) / seconds / perProcess.length),
    rssMib: meanAndGreatest(perProcess.map(({ rss }) => rss)),
    loadAverage: round(loadavg()[0] ?? 0),
  };
  return { report, next };
}

function isAppended(event: PlatformEvent): boolean {
  return event.type === 'append' && event.result === 'appended';
}

function summarizeLatencies(
  results: readonly RequestResult[],
): Pick<
  PhaseReport,
  | 'overheadP50Ms'
  | 'overheadP99Ms'
  | 'promptP50Ms'
  | 'promptP99Ms'
  | 'sealingP50Ms'
  | 'sealingP99Ms'
> {
  const done = results.filter(({ outcome }) => outcome === 'completed' || outcome === 'late');
  const overhead = done
    .filter(({ request }) => request.service !== 'sealing')
    .map(({ latencyMs, request }) => latencyMs - request.serviceMs);
  const latencies = (service: string): number[] =>
    done.filter(({ request }) => request.service === service).map(({ latencyMs }) => latencyMs);
  const prompt = latencies('lookup');
  const sealing = latencies('sealing');
  return {
    overheadP50Ms: round(percentile(overhead, 0.5)),
    overheadP99Ms: round(percentile(overhead, 0.99)),
    promptP50Ms: round(percentile(prompt, 0.5)),
    promptP99Ms: round(percentile(prompt, 0.99)),
    sealingP50Ms: round(percentile(sealing, 0.5)),
    sealingP99Ms: round(percentile(sealing, 0.99)),
  };
}

function countOutcomes(results: readonly RequestResult[]): PhaseReport['outcomes'] {
  const counts = { completed: 0, late: 0, refused: 0, unknown: 0, lost: 0 };
  for (const { outcome } of results) counts[outcome] += 1;
  return counts;
}

function meanAndGreatest(values: readonly number[]): { mean: number; greatest: number } {
  const sum = values.reduce((total, value) => total + value, 0);
  return { mean: round(sum / values.length), greatest: round(Math.max(...values)) };
}

function round(value: number): number {
  return Math.round(value * 100) / 100;
}
