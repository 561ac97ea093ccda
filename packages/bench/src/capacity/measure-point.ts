import { loadavg } from 'node:os';
import type { ProcessCell } from '../cell/process-cell.js';
import type { CapacityPoint } from './capacity-point.js';
import { snapshotBytes } from './snapshot-bytes.js';

/** Measures the only entry process of a cell during `run`. */
export async function measurePoint(
  cell: ProcessCell,
  partitions: number,
  name: Pick<CapacityPoint, 'slope' | 'size' | 'repetition'>,
  run: () => Promise<void>,
): Promise<CapacityPoint> {
  const { clock } = cell;
  const earlier = (await cell.events(0)).next;
  const [before] = await cell.usage();
  const startMs = clock.monotonicMs();
  await run();
  const seconds = (clock.monotonicMs() - startMs) / 1_000;
  const [after] = await cell.usage();
  if (before === undefined || after === undefined) throw new Error('the cell has no entry process');
  const { events } = await cell.events(0);
  const during = events.filter((event) => event.sequence >= earlier);
  const starts = during.filter((event) => event.type === 'task-began').length;
  const began = events.filter((event) => event.type === 'task-began').length;
  const ended = events.filter((event) => event.type === 'task-ended').length;
  const appends = during.flatMap((event) =>
    event.type === 'append' && event.result === 'appended' ? [event] : [],
  );
  const journalBytes = appends
    .filter(({ stream }) => stream.startsWith('journal.'))
    .reduce((sum, { bytes }) => sum + bytes, 0);
  const sizes = await Promise.all(
    Array.from({ length: partitions }, (_, index) =>
      snapshotBytes(cell.addresses.log, `dc.${index}`),
    ),
  );
  const bytes = after.readBytes + after.writtenBytes - before.readBytes - before.writtenBytes;
  return {
    ...name,
    runningTasks: began - ended,
    startsPerSecond: starts / seconds,
    cpuPercent: (after.cpuMs - before.cpuMs) / seconds / 10,
    bytesPerSecond: bytes / seconds,
    rssMib: after.rssMib,
    appendsPerSecond: appends.length / seconds,
    snapshotBytes: sizes.reduce((sum, size) => sum + size, 0),
    journalBytesPerStart: starts === 0 ? 0 : journalBytes / starts,
    loadAverage: loadavg()[0] ?? 0,
  };
}
