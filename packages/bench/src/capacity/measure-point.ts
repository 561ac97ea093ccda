import { loadavg } from 'node:os';
import type { ProcessCell } from '../cell/process-cell.js';
import type { CapacityPoint } from './capacity-point.js';
import { measureSnapshot } from './measure-snapshot.js';

/** Measures the only entry process of a cell during `run`. */
export async function measurePoint(
  cell: ProcessCell,
  partitions: number,
  variation: Pick<CapacityPoint, 'slope' | 'size' | 'repetition'>,
  run: () => Promise<void>,
): Promise<CapacityPoint> {
  const { clock } = cell;
  const firstSequence = (await cell.events(0)).next;
  const [usageBefore] = await cell.usage();
  const startMs = clock.monotonicMs();
  await run();
  const seconds = (clock.monotonicMs() - startMs) / 1_000;
  const [usageAfter] = await cell.usage();
  if (usageBefore === undefined || usageAfter === undefined)
    throw new Error('the cell has no entry process');
  const { events } = await cell.events(0);
  const pointEvents = events.filter((event) => event.sequence >= firstSequence);
  const starts = pointEvents.filter((event) => event.type === 'task-began').length;
  const tasksBegun = events.filter((event) => event.type === 'task-began').length;
  const tasksEnded = events.filter((event) => event.type === 'task-ended').length;
  const appends = pointEvents.flatMap((event) =>
    event.type === 'append' && event.result === 'appended' ? [event] : [],
  );
  const journalBytes = appends
    .filter(({ stream }) => stream.startsWith('journal.'))
    .reduce((sum, { bytes }) => sum + bytes, 0);
  const snapshotSizes = await Promise.all(
    Array.from({ length: partitions }, (_, index) =>
      measureSnapshot(cell.addresses.log, `dc.${index}`),
    ),
  );
  const bytes =
    usageAfter.readBytes +
    usageAfter.writtenBytes -
    usageBefore.readBytes -
    usageBefore.writtenBytes;
  return {
    ...variation,
    runningTasks: tasksBegun - tasksEnded,
    startsPerSecond: starts / seconds,
    cpuPercent: (usageAfter.cpuMs - usageBefore.cpuMs) / seconds / 10,
    bytesPerSecond: bytes / seconds,
    rssMib: usageAfter.rssMib,
    appendsPerSecond: appends.length / seconds,
    snapshotBytes: snapshotSizes.reduce((sum, size) => sum + size, 0),
    journalBytesPerStart: starts === 0 ? 0 : journalBytes / starts,
    loadAverage: loadavg()[0] ?? 0,
  };
}
