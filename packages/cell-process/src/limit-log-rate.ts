import type { Clock } from '@acaciahoist/clock';
import type { EventLog } from '@acaciahoist/types/event-log';

/**
 * Average rate of log lines per second on a machine of one core or more. A line takes about 60 µs, so that
 * logging uses about a hundredth of the processor time.
 */
const LINES_PER_S = 150;
/** Minimum rate of log lines per second; the rate falls with the cores of a machine of less than one core. */
const MIN_LINES_PER_S = 20;
/** Lines that may be written at once on a machine of one core or more; scaled like the rate. */
const BURST_LINES = 400;

/**
 * Limits the rate of log lines with a token bucket. Errors are never dropped. The first line after dropped
 * lines is preceded by one with their number.
 */
export function limitLogRate(log: EventLog, clock: Clock, cores: number): EventLog {
  const linesPerS = Math.max(MIN_LINES_PER_S, LINES_PER_S * Math.min(1, cores));
  const burstLines = (BURST_LINES * linesPerS) / LINES_PER_S;
  let availableLines = burstLines;
  let refilledAtMs = clock.monotonicMs();
  let suppressedLines = 0;
  return (level, event, fields) => {
    const nowMs = clock.monotonicMs();
    availableLines = Math.min(
      burstLines,
      availableLines + ((nowMs - refilledAtMs) * linesPerS) / 1_000,
    );
    refilledAtMs = nowMs;
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
