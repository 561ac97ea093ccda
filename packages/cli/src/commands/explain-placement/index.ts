import { parse, type ParseError } from 'jsonc-parser';
import { command, option, optional, positional, string } from 'cmd-ts';
import { answers } from '@acaciahoist/errors/answers';
import type { CommandIo } from '../../command-io.js';
import { createCallFailure } from '../../create-call-failure.js';
import { isRecord } from '../../is-record.js';
import { printFailure } from '../../print-failure.js';
import { readTextFile } from '../../read-text-file.js';
import { runWithServer } from '../../run-with-server.js';
import { serverOptions } from '../../server-options.js';
import { printPlacement } from './print-placement.js';

/** Largest body in bytes that a process in the platform role receives, whatever its configuration permits. */
const MAX_BODY_BYTES = 1_000_000;

export function createExplainPlacementCommand(io: CommandIo) {
  return command({
    name: 'explain-placement',
    description:
      'Tells where a job would go now and why, without submitting it. The server is the inspection address of a process in the platform role. The exit code is 7 if only the owner could tell the placement.',
    examples: [
      {
        description: 'Workers that would start the tasks of a job of team blue',
        command:
          'acaciahoist explain-placement job.json --server http://127.0.0.1:7203 --host api.example --path /batch/ --team blue',
      },
    ],
    args: {
      file: positional({
        type: string,
        displayName: 'JOB-FILE',
        description: 'body of a submission to the platform role, JSON with comments',
      }),
      host: option({
        type: optional(string),
        long: 'host',
        description: 'host of the queue; may be left out if the path names one queue',
      }),
      path: option({
        type: optional(string),
        long: 'path',
        description: 'path of the queue, with or without a job id',
      }),
      team: option({
        type: optional(string),
        long: 'team',
        description: 'name of the team that would submit the job',
      }),
      ...serverOptions,
    },
    handler: async (args) => {
      const text = await readTextFile(io, args.file);
      if (text.isErr) return printFailure(io, text.error, args.json);
      const faults: ParseError[] = [];
      const body = parse(text.value, faults, { allowTrailingComma: true }) as unknown;
      if (faults.length > 0 || !isRecord(body)) {
        const message = `${args.file} is not a JSON object; give the body of a submission`;
        return printFailure(io, createCallFailure('bad-request', message), args.json);
      }
      if (Buffer.byteLength(JSON.stringify(body)) > MAX_BODY_BYTES) {
        const message = `${args.file} is larger than ${MAX_BODY_BYTES} bytes, which no configuration permits`;
        return printFailure(io, createCallFailure('bad-request', message), args.json);
      }
      const query = new URLSearchParams();
      for (const name of ['host', 'path', 'team'] as const) {
        const value = args[name];
        if (value !== undefined) query.set(name, value);
      }
      return runWithServer(io, args, async (client) => {
        const response = await client.call({
          method: 'POST',
          path: `/placement?${query.toString()}`,
          body,
          isReadOnly: true,
        });
        return response.map((report) => {
          printPlacement(io, report, args.json);
          return isRecord(report) && 'owner' in report ? answers['not-owner'].exitCode : 0;
        });
      });
    },
  });
}
