import { parse } from 'jsonc-parser';
import { command, flag, option, optional, positional, string } from 'cmd-ts';
import { Result } from 'true-myth/result';
import type { Fault } from '@acaciahoist/declaration/fault';
import { parseJobSpec } from '@acaciahoist/declaration/parse-job-spec';
import type { JobSpec } from '@acaciahoist/types/job-spec';
import { createCallFailure } from '../../create-call-failure.js';
import type { CommandIo } from '../../command-io.js';
import { createFaultFailure } from '../../create-fault-failure.js';
import { isRecord } from '../../is-record.js';
import { chooseExitCode } from '../../choose-exit-code.js';
import { printFailure } from '../../print-failure.js';
import { printJob } from '../../print-job.js';
import { readTextFile } from '../../read-text-file.js';
import { serverOptions } from '../../server-options.js';
import { watchJob } from '../../watch-job.js';
import { runWithServer } from '../../run-with-server.js';

export function createSubmitCommand(io: CommandIo) {
  return command({
    name: 'submit',
    description:
      'Checks a job file and submits the job. With an idempotency key the command may be repeated: a repetition with the same key returns the same job.',
    examples: [
      { description: 'Submit a job', command: 'acaciahoist submit examples/jobs/triage.jsonc' },
      {
        description: 'Submit with a key and wait until the job has ended',
        command: 'acaciahoist submit --key run-17 --watch examples/jobs/recalculation.jsonc',
      },
    ],
    args: {
      file: positional({
        type: string,
        displayName: 'FILE',
        description: 'job file, JSON with comments',
      }),
      key: option({
        type: optional(string),
        long: 'key',
        description: 'idempotency key; replaces the key in FILE',
      }),
      watch: flag({ long: 'watch', description: 'print every change until the job has ended' }),
      ...serverOptions,
    },
    handler: async (args) => {
      const text = await readTextFile(io, args.file);
      if (text.isErr) return printFailure(io, text.error, args.json);
      const checked = parseJobWithKey(text.value, args.file, args.key);
      if (checked.isErr)
        return printFailure(io, createFaultFailure(args.file, checked.error), args.json);
      return runWithServer(io, args, async (client) => {
        const response = await client.call({ method: 'POST', path: '/jobs', body: checked.value });
        if (response.isErr) return Result.err(response.error);
        const acceptedJobId = isRecord(response.value) ? response.value.jobId : undefined;
        if (typeof acceptedJobId !== 'string')
          return Result.err(
            createCallFailure(
              'internal',
              'the answer of the server has no job id; check that --server is an entry process',
            ),
          );
        printJob(io, response.value, args.json);
        if (!args.watch) return Result.ok(0);
        const outcome = await watchJob(io, client, acceptedJobId, args.json);
        return outcome.map(chooseExitCode);
      });
    },
  });
}

/** Checks the text of a job. A given key replaces the key in the text, which may then be absent or invalid. */
function parseJobWithKey(
  text: string,
  file: string,
  key: string | undefined,
): Result<JobSpec, readonly Fault[]> {
  const parsed = parseJobSpec(text, file);
  if (key === undefined) return parsed;
  const faults = parsed.isErr ? parsed.error.filter(({ path }) => path !== 'key') : [];
  if (faults.length > 0) return Result.err(faults);
  // All checks but that of the key passed, so the text is within the limits that protect the recursive parser.
  const job = parsed.isOk ? parsed.value : (parse(text) as JobSpec);
  return parseJobSpec({ ...job, key }, `${file} with --key`);
}
