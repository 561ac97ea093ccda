import { cpus } from 'node:os';
import type { PhaseReport } from './phase-report.js';
import type { RequestsBenchReport } from './requests-bench-report.js';

type Summary = Omit<RequestsBenchReport, 'missed'>;

/** Computes the figures of the report from the phases and compares them with the targets. */
export function summarizeBench(
  seed: number,
  phaseByName: ReadonlyMap<string, PhaseReport>,
): RequestsBenchReport {
  const findPhase = (name: string): PhaseReport => {
    const phase = phaseByName.get(name);
    if (phase === undefined) throw new Error(`phase "${name}" of the requests bench did not run`);
    return phase;
  };
  const [idle, normal, direct, random] = [
    findPhase('idle'),
    findPhase('normal'),
    findPhase('direct'),
    findPhase('random'),
  ];
  const throughEntries = [normal, findPhase('prompt'), findPhase('full')];
  const sum = (pick: (phase: PhaseReport) => number, phases = throughEntries): number =>
    phases.reduce((total, phase) => total + pick(phase), 0);
  // Lost, duplicated and oversold work counts in the warm-up too; times and the other outcomes only after it.
  const withWarmUp = [findPhase('warm-up'), ...throughEntries];
  const without = findPhase('prompt').promptP99Ms;
  const underHeavy = findPhase('full').promptP99Ms;
  const summary: Summary = {
    seed,
    machine: { cpus: cpus().length, model: cpus()[0]?.model ?? '', node: process.version },
    requestsPerSecond: normal.requestsPerSecond,
    addedP50Ms: round(normal.overheadP50Ms - direct.overheadP50Ms),
    addedP99Ms: round(normal.overheadP99Ms - direct.overheadP99Ms),
    randomAddedP99Ms: round(random.overheadP99Ms - direct.overheadP99Ms),
    promptP99Ms: {
      without,
      underHeavy,
      ratio: round(underHeavy / without),
      randomRatio: round(
        findPhase('random-full').promptP99Ms / findPhase('random-prompt').promptP99Ms,
      ),
    },
    slotUse: {
      normal: round(normal.busySlots / direct.busySlots),
      full: round(findPhase('full').busySlots / findPhase('direct-full').busySlots),
      randomNormal: round(random.busySlots / direct.busySlots),
      randomFull: round(findPhase('random-full').busySlots / findPhase('direct-full').busySlots),
    },
    appendsPerSecond: { idle: idle.appendsPerSecond, normal: normal.appendsPerSecond },
    controlBytesPerSecond: idle.bytesPerSecond.mean,
    controlCpuPercent: idle.cpuPercent.mean,
    rssMiB: {
      idle: idle.rssMib.greatest,
      greatest: Math.max(...throughEntries.map(({ rssMib }) => rssMib.greatest)),
    },
    completed: sum(({ outcomes }) => outcomes.completed),
    late: sum(({ outcomes }) => outcomes.late),
    lost: sum(({ outcomes, notServed }) => outcomes.lost + notServed, withWarmUp),
    duplicated: sum(({ duplicated }) => duplicated, withWarmUp),
    oversold: sum(({ oversold }) => oversold, withWarmUp),
    unknown: sum(({ outcomes }) => outcomes.unknown),
    refused: sum(({ outcomes }) => outcomes.refused),
    phases: [...phaseByName.values()],
  };
  return { ...summary, missed: listMissedTargets(summary) };
}

function listMissedTargets(summary: Summary): string[] {
  const { slotUse, appendsPerSecond } = summary;
  const checks: Record<string, boolean> = {
    'lost = 0': summary.lost === 0,
    'duplicated = 0': summary.duplicated === 0,
    'oversold = 0': summary.oversold === 0,
    'addedP99Ms <= 3': summary.addedP99Ms <= 3,
    'slotUse.normal >= 0.95': slotUse.normal >= 0.95,
    'promptP99Ms.ratio <= 2': summary.promptP99Ms.ratio <= 2,
    'appendsPerSecond <= 200': Math.max(appendsPerSecond.idle, appendsPerSecond.normal) <= 200,
    'rssMiB <= 256': summary.rssMiB.greatest <= 256,
    'controlBytesPerSecond <= 5000': summary.controlBytesPerSecond <= 5_000,
    'controlCpuPercent <= 1.6': summary.controlCpuPercent <= 1.6,
  };
  return Object.keys(checks).filter((name) => checks[name] !== true);
}

function round(value: number): number {
  return Math.round(value * 1_000) / 1_000;
}
