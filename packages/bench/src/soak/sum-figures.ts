import type { SoakFigures } from './soak-figures.js';

/** Returns the figures of two cells together. */
export function sumFigures(first: SoakFigures, second: SoakFigures): SoakFigures {
  const answers: Record<string, number> = { ...first.answers };
  for (const [answer, count] of Object.entries(second.answers))
    answers[answer] = (answers[answer] ?? 0) + count;
  return {
    rounds: first.rounds + second.rounds,
    starts: first.starts + second.starts,
    answers,
    keys: first.keys + second.keys,
    jobs: first.jobs + second.jobs,
    lost: first.lost + second.lost,
    duplicated: first.duplicated + second.duplicated,
    oversold: first.oversold + second.oversold,
    unknown: first.unknown + second.unknown,
    recoveryMs: Math.max(first.recoveryMs, second.recoveryMs),
    findings: [...first.findings, ...second.findings],
    trace: first.trace + second.trace,
  };
}
