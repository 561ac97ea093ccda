import type { Clock } from '@acaciahoist/clock';
import type { EventLog } from '@acaciahoist/types/event-log';

/**
 * Lines a second in the long run on a whole core, and lines that may come at once. A line takes some
 * 60 µs, so that about a hundredth of the processor time is spent on them. Errors are never dropped.
 */
const LINES_PER_S = 150;
const MIN_LINES_PER_S = 20;
const BURST_LINES = 400;

/** Bounds the volume of a log; says how many lines were left out as soon as there is room again. */
export function boundLog(log: EventLog, clock: Clock, cores: number): EventLog {
  const linesPerS = Math.max(MIN_LINES_PER_S, LINES_PER_S * Math.min(1, cores));
  const burstLines = (BURST_LINES * linesPerS) / LINES_PER_S;
  let availableLines = burstLines;
  let refilledMs = clock.monotonicMs();
  let suppressedLines = 0;
  return (level, event, fields) => {
    const nowMs = clock.monotonicMs();
    availableLines = Math.min(
      burstLines,
      availableLines + ((nowMs - refilledMs) * linesPerS) / 1_000,
    );
    refilledMs = nowMs;
    if (availableLines < 1 && level !== 'error') {
      suppressedLines += 1;
      return;
    }
    availableLines -= 1;
    if (suppressedLines > 0) {
      log('warn', 'lines-suppressed', { lines: suppressedLines });
      suppressedLines = 0;
    }
    log(level, event, fields);
  };
}
