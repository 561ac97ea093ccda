import { createHash } from 'node:crypto';
import type { PlatformEvent } from '../cell/platform-event.js';
import type { RequestResult } from './request-result.js';

/** Share at the start of the phase that is not measured, because the slots are not yet full. */
const WARM_UP_SHARE = 0.1;

/** Fields as in `PhaseReport`. */
interface RunSummary {
  busySlots: number;
  oversold: number;
  duplicated: number;
  notServed: number;
}

/** Compares the runs at the runners with the answers to the callers. */
export function summarizeRuns(
  events: readonly PlatformEvent[],
  results: readonly RequestResult[],
  durationMs: number,
): RunSummary {
  const began = events.filter((event) => event.type === 'request-began');
  const firstBeganAtMs = began[0]?.atMs ?? 0;
  const fromMs = firstBeganAtMs + durationMs * WARM_UP_SHARE;
  const toMs = firstBeganAtMs + durationMs;
  const endByRun = new Map<string, { atMs: number; outcome: string }>();
  for (const event of events) {
    if (event.type !== 'request-ended') continue;
    endByRun.set(`${event.source} ${event.requestId}`, {
      atMs: event.atMs,
      outcome: event.outcome,
    });
  }
  let busyMs = 0;
  const runCountByDigest = new Map<string, number>();
  const servedDigests = new Set<string>();
  for (const { source, requestId, atMs, bodyDigest } of began) {
    const end = endByRun.get(`${source} ${requestId}`);
    busyMs += Math.max(0, Math.min(end?.atMs ?? toMs, toMs) - Math.max(atMs, fromMs));
    runCountByDigest.set(bodyDigest, (runCountByDigest.get(bodyDigest) ?? 0) + 1);
    if (end?.outcome === 'served') servedDigests.add(bodyDigest);
  }
  let duplicated = 0;
  let notServed = 0;
  for (const { request, outcome } of results) {
    const digest = createHash('sha256').update(request.id).digest('hex').slice(0, 16);
    if (request.service === 'sealing' && (runCountByDigest.get(digest) ?? 0) > 1) duplicated += 1;
    if ((outcome === 'completed' || outcome === 'late') && !servedDigests.has(digest))
      notServed += 1;
  }
  const oversold = events.filter((event) => event.type === 'oversold').length;
  return { busySlots: busyMs / (toMs - fromMs), oversold, duplicated, notServed };
}
