import { command, positional, string } from 'cmd-ts';
import { answers } from '@acaciahoist/errors/answers';
import { Entry } from '@acaciahoist/entry';
import { createEventLog } from '@acaciahoist/entry/create-event-log';
import { createCallFailure } from '../../create-call-failure.js';
import type { CommandIo } from '../../command-io.js';
import { printFailure } from '../../print-failure.js';
import { readSettings } from '../../read-settings.js';
import { waitForStopSignal } from '../../wait-for-stop-signal.js';

export function createEntryCommand(io: CommandIo) {
  return command({
    name: 'entry',
    description:
      'Runs one entry process until SIGTERM or SIGINT; it stops after the outstanding requests are answered.',
    examples: [
      {
        description: 'Start a process',
        command: 'acaciahoist entry examples/loopback/entry-1.jsonc',
      },
    ],
    args: {
      file: positional({ type: string, displayName: 'SETTINGS', description: 'settings file' }),
    },
    handler: async ({ file }) => {
      const settings = await readSettings(io, file, 'entry');
      if (settings.isErr) return printFailure(io, settings.error, false);
      const { peerListen, listen, log: logSettings } = settings.value;
      const log = createEventLog({
        process: peerListen,
        level: logSettings.level,
        write: (line) => {
          io.print(line);
        },
      });
      const stopSignal = waitForStopSignal(() => {
        log('warn', 'signal-ignored', { reason: 'the process is already stopping' });
      });
      const entry = Entry.create(settings.value, io.clock, log);
      // Not awaited: while neither the platform nor a peer answers, the start does not end before the stop.
      void entry.start().catch((error: unknown) => {
        const reason = error instanceof Error ? error.message : String(error);
        const message = `cannot listen on ${listen} and ${peerListen}: ${reason}; choose free addresses in ${file}`;
        printFailure(io, createCallFailure('internal', message), false);
        // Timers and sockets opened before the failure would prevent the process from exiting.
        process.exit(answers.internal.exitCode);
      });
      await stopSignal;
      await entry.stop();
      return 0;
    },
  });
}
