import { command, flag, positional } from 'cmd-ts';
import type { CommandIo } from '../../command-io.js';
import { jobIdType } from '../../job-id-type.js';
import { printJob } from '../../print-job.js';
import { serverOptions } from '../../server-options.js';
import { runWithServer } from '../../run-with-server.js';
import { chooseExitCode } from '../../choose-exit-code.js';
import { printReason } from './print-reason.js';
import { watchJob } from '../../watch-job.js';

export function createStatusCommand(io: CommandIo) {
  return command({
    name: 'status',
    description:
      'Prints the state of a job. With --watch the command runs until the job has ended; the exit code is 0 only if the job completed.',
    examples: [
      { description: 'Current state', command: 'acaciahoist status north-1.0:17' },
      {
        description: 'Every change until the job has ended',
        command: 'acaciahoist status --watch north-1.0:17',
      },
      {
        description: 'Reason why a job waits, from the owner of a cell in the platform role',
        command: 'acaciahoist status --why --server http://127.0.0.1:7203 fee5ffe9e4b8c8b1',
      },
      {
        description: 'Reason why the job waits or why it runs on its workers',
        command: 'acaciahoist status --why north-1.0:17',
      },
    ],
    args: {
      job: positional({ type: jobIdType }),
      watch: flag({ long: 'watch', description: 'print every change until the job has ended' }),
      why: flag({ long: 'why', description: 'print the reason and the data of the last decision' }),
      ...serverOptions,
    },
    handler: (args) =>
      runWithServer(io, args, async (client) => {
        if (args.why) {
          const response = await client.call({ method: 'GET', path: `/jobs/${args.job}/why` });
          return response.map((value) => {
            printReason(io, value, args.json);
            return 0;
          });
        }
        if (args.watch) {
          const outcome = await watchJob(io, client, args.job, args.json);
          return outcome.map(chooseExitCode);
        }
        const response = await client.call({ method: 'GET', path: `/jobs/${args.job}` });
        return response.map((value) => {
          printJob(io, value, args.json, args.job);
          return 0;
        });
      }),
  });
}
