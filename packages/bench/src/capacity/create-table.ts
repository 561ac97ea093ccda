import type { CapacityReport } from './capacity-report.js';

/** Creates a Markdown page with the points and the fitted lines of one or more runs. */
export function createTable(
  reports: readonly CapacityReport[],
  fits: CapacityReport['fits'],
): string {
  const first = reports[0];
  if (first === undefined) return '';
  const { machine, measureMs } = first;
  const seeds = reports.map(({ seed, repetitions }) => `${seed} (${repetitions} repetition)`);
  const points = reports.flatMap((report) =>
    report.points.map((point) => ({ ...point, seed: report.seed })),
  );
  const pointRows = points.map((point) =>
    formatRow([
      point.slope,
      point.size,
      point.seed,
      point.runningTasks,
      point.startsPerSecond,
      point.cpuPercent,
      point.bytesPerSecond,
      point.rssMib,
      point.appendsPerSecond,
      point.snapshotBytes,
      point.journalBytesPerStart,
      point.loadAverage,
    ]),
  );
  const fitRows = fits.map((fit) =>
    formatRow([fit.varied, fit.measure, fit.intercept, fit.slope, fit.deviation]),
  );
  return [
    '# Capacity',
    '',
    'Cost of one entry process that owns 28 partitions with 28 workers and 5 runners, unless that size is the one varied. Made by `packages/bench/src/capacity/render-capacity-main.ts` from the output of `runCapacityBench`; processes and platform on loopback.',
    '',
    `Machine: ${machine.cpus} cores (${machine.model}), ${machine.memoryMib} MiB, Node.js ${machine.node}, shared with other work; the load average stands beside each point. Seeds: ${seeds.join(', ')}. Measured for ${measureMs} ms at each point. Processor time is counted in ticks of 10 ms.`,
    '',
    'The slopes of workers and partitions are measured at 6.5 starts a second, the others without other work. The points of configuration changes, starts and running tasks come from one cell in this order: the first include compilation, and snapshots keep the jobs that ended before. Bytes are those read and written by the process, log lines included.',
    '',
    '## Fitted lines',
    '',
    formatHeader(['varied', 'measure', 'intercept', 'slope', 'standard deviation']),
    ...fitRows,
    '',
    '## Points',
    '',
    formatHeader([
      'varied',
      'size',
      'seed',
      'running tasks',
      'starts/s',
      'cpu %',
      'bytes/s',
      'RSS MiB',
      'appends/s',
      'snapshot bytes',
      'journal bytes/start',
      'load average',
    ]),
    ...pointRows,
    '',
  ].join('\n');
}

function formatHeader(names: readonly string[]): string {
  return `${formatRow(names)}\n${formatRow(names.map(() => '---'))}`;
}

function formatRow(cells: readonly (string | number)[]): string {
  const texts = cells.map((cell) =>
    typeof cell === 'number' ? String(Number(cell.toPrecision(4))) : cell,
  );
  return `| ${texts.join(' | ')} |`;
}
