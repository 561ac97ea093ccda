import { mkdir, readFile, writeFile } from 'node:fs/promises';
import { join } from 'node:path';
import type { CapacityReport } from './capacity-report.js';
import { createPlot } from './create-plot.js';
import { createTable } from './create-table.js';
import { fitCapacity } from './fit-capacity.js';
import { sizeOfPoint } from './size-of-point.js';

// Writes the table and the plots of the capacity bench. Arguments: the folder to write to, then files with
// the output of the bench.
const [folder = 'docs/capacity', ...files] = process.argv.slice(2);

async function render(): Promise<void> {
  const reports = await Promise.all(
    files.map(async (file) => JSON.parse(await readFile(file, 'utf8')) as CapacityReport),
  );
  const points = reports.flatMap((report) => report.points);
  const fits = fitCapacity(points);
  await mkdir(folder, { recursive: true });
  await writeFile(join(folder, 'README.md'), createTable(reports, fits));
  for (const fit of fits) {
    const slopePoints = points
      .filter((point) => point.slope === fit.varied)
      .map((point) => ({ x: sizeOfPoint(point), y: point[fit.measure] }));
    const svg = await createPlot(`${fit.measure} by ${fit.varied}`, slopePoints, fit);
    await writeFile(
      join(folder, `${toKebab(fit.measure)}-by-${toKebab(fit.varied)}.svg`),
      `${svg}\n`,
    );
  }
}

function toKebab(name: string): string {
  return name.replace(/[A-Z]/g, (letter) => `-${letter.toLowerCase()}`);
}

void render();
