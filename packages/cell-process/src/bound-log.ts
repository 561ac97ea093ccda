import type { Clock } from '@acaciahoist/clock';
import type { EventLog } from '@acaciahoist/types/event-log';

/** Lines a second in the long run, and lines that may come at once. Errors are never dropped. */
const LINES_PER_S = 150;
const BURST_LINES = 400;

/** Bounds the volume of a log; says how many lines were left out as soon as there is room again. */
export function boundLog(log: EventLog, clock: Clock): EventLog {
  let room = BURST_LINES;
  let refilledMs = clock.monotonicMs();
  let suppressed = 0;
  return (level, event, fields) => {
    const nowMs = clock.monotonicMs();
    room = Math.min(BURST_LINES, room + ((nowMs - refilledMs) * LINES_PER_S) / 1_000);
    refilledMs = nowMs;
    if (room < 1 && level !== 'error') {
      suppressed += 1;
      return;
    }
    room -= 1;
    if (suppressed > 0) {
      log('warn', 'lines-suppressed', { lines: suppressed });
      suppressed = 0;
    }
    log(level, event, fields);
  };
}
