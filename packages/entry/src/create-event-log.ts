import bunyan from 'bunyan';
import type { EventLog } from '@acaciahoist/types/event-log';
import { formatEvent } from './format-event.js';

/** Creates an event log on top of bunyan that writes each event as one line of key=value pairs. */
export function createEventLog(options: {
  process: string;
  level: 'debug' | 'info' | 'warn' | 'error';
  write: (line: string) => void;
}): EventLog {
  const logger = bunyan.createLogger({
    name: 'acaciahoist',
    streams: [
      {
        type: 'raw',
        level: options.level,
        stream: {
          write: (record: Record<string, unknown>) => {
            options.write(
              `${formatEvent(record, bunyan.nameFromLevel[record.level as number] ?? 'info')}\n`,
            );
          },
        } as unknown as NodeJS.WritableStream,
      },
    ],
  });
  return (level, event, fields = {}) => {
    logger[level]({ process: options.process, ...fields }, event);
  };
}
