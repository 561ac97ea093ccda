import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';
import { runCase } from '../stand-ins-2/cluster.mjs';

const PATH = '/lohu930/5c0e7a21d94b36f8';
const STEP = { gang: true, count: 3, ms: 6_000, checkpointing: true };
/** When the runner of a member crashes, after the gang has begun to work, and how long it is away. */
const CRASH_AFTER_MS = 2_150;
const AWAY_MS = 3_000;
/** Time after the return of the runner for which ends are not judged. */
const STABLE_WINDOW_MS = 3_000;
const JUDGED_MS = 30_000;

await runCase(
  { folder: dirname(fileURLToPath(import.meta.url)), processes: 3, runners: 8 },
  async (cluster, hasTrouble) => {
    cluster.configure(1, [{ pathPrefix: '/lohu930/' }]);
    /** Checkpoints of the members that were started, by run. */
    const checkpointsByRun = new Map();
    let judgedFromMs = Number.POSITIVE_INFINITY;
    let aloneEnds = 0;
    const members = new Map();
    for (const runner of cluster.runners)
      runner.onEvent = ({ kind, task, run, how, checkpoint }) => {
        if (kind === 'start') {
          members.set(task, runner);
          checkpointsByRun.set(run, [...(checkpointsByRun.get(run) ?? []), checkpoint]);
        } else if (kind === 'end' && how === 'alone' && cluster.elapsedMs() > judgedFromMs)
          aloneEnds += 1;
      };
    await cluster.start();
    const isAccepted = await cluster.submit(PATH, {
      spec: JSON.stringify({ steps: [STEP] }),
      phases: [
        { count: 3, cpu: 20_000, memMb: 1_024, estimateMs: 6_000, gang: true, checkpointing: true },
      ],
    });
    if (!isAccepted) throw new Error('the job was not accepted');
    await cluster.waitFor('the gang works', 5_000, () => members.size === STEP.count);
    await cluster.sleep(CRASH_AFTER_MS);
    const [runner] = members.values();
    if (hasTrouble) await runner.crash();
    await cluster.sleep(AWAY_MS);
    if (hasTrouble) await runner.start();
    judgedFromMs = cluster.elapsedMs() + STABLE_WINDOW_MS;
    let state = '';
    const endMs = cluster.elapsedMs() + JUDGED_MS;
    while (state !== 'completed' && cluster.elapsedMs() < endMs) {
      await cluster.sleep(1_000);
      state = (await cluster.client(cluster.processes[1], 'GET', PATH)).body.state;
    }
    const mixedRuns = [...checkpointsByRun].filter(([, values]) => new Set(values).size > 1);
    for (const [run, checkpoints] of mixedRuns)
      cluster.record('mixed-checkpoints', { run, checkpoints });
    cluster.record('result', { state, aloneEnds, mixedRuns: mixedRuns.length });
    return aloneEnds > 0
      ? `GANG: ${aloneEnds} runs ended alone with no disruption near; ${mixedRuns.length} runs of the gang were started with different checkpoints; the job is ${state}`
      : undefined;
  },
);
