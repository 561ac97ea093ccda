import { command, positional } from 'cmd-ts';
import type { CommandIo } from '../../command-io.js';
import { jobIdType } from '../../job-id-type.js';
import { printJob } from '../../print-job.js';
import { serverOptions } from '../../server-options.js';
import { runWithServer } from '../../run-with-server.js';

export function createCancelCommand(io: CommandIo) {
  return command({
    name: 'cancel',
    description:
      'Cancels a job. A job that has ended keeps its outcome; running tasks are stopped after the cancellation is recorded.',
    examples: [{ description: 'Cancel a job', command: 'acaciahoist cancel north-1.0:17' }],
    args: { job: positional({ type: jobIdType }), ...serverOptions },
    handler: (args) =>
      runWithServer(io, args, async (client) => {
        const response = await client.call({ method: 'DELETE', path: `/jobs/${args.job}` });
        return response.map((value) => {
          printJob(io, value, args.json, args.job);
          return 0;
        });
      }),
  });
}
