import type { SoakReport } from '@acaciahoist/bench/soak/soak-report';

/** Returns the figures of a soak and, if it has findings, its seed, schedule, evidence and output. */
export function formatSoakReport(report: SoakReport): string {
  const { findings, trace, failedSchedule, ...figures } = report;
  const summary = `${JSON.stringify(figures, null, 2)}\n`;
  if (findings.length === 0) return summary;
  const steps = failedSchedule.flatMap((round, index) =>
    round.map(
      ({ startMs, endMs, action }) =>
        `round ${index} ${startMs} to ${endMs} ms: ${JSON.stringify(action)}`,
    ),
  );
  const shown = findings.flatMap(({ check, message, events }) => [
    `${check}: ${message}`,
    ...events.slice(0, 20).map((event) => `  ${JSON.stringify(event)}`),
  ]);
  return [
    `seed ${report.seed} failed in round ${report.rounds - 1}; schedule until then:`,
    ...steps,
    'latest output of the processes:',
    trace,
    'findings:',
    ...shown,
    summary,
  ].join('\n');
}
