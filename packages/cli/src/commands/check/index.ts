import { command, flag, oneOf, option, optional, restPositionals, string } from 'cmd-ts';
import { answers } from '@acaciahoist/errors/answers';
import { formatFault } from '@acaciahoist/declaration/format-fault';
import { createCallFailure } from '../../create-call-failure.js';
import type { CommandIo } from '../../command-io.js';
import { printFailure } from '../../print-failure.js';
import { readTextFile } from '../../read-text-file.js';
import { checkFile } from './check-file.js';
import { fileKinds } from './file-kinds.js';

export function createCheckCommand(io: CommandIo) {
  return command({
    name: 'check',
    description: 'Checks declaration, settings and job files without a server.',
    examples: [
      {
        description: 'Check two files',
        command: 'acaciahoist check declaration.jsonc entry.jsonc',
      },
      {
        description: 'Faults for a program',
        command: 'acaciahoist check --json --kind job job.jsonc',
      },
    ],
    args: {
      files: restPositionals({ type: string, displayName: 'FILE' }),
      kind: option({
        type: optional(oneOf(fileKinds)),
        long: 'kind',
        description: `one of ${fileKinds.join(', ')}; detected from the field names by default`,
      }),
      json: flag({ long: 'json', description: 'print one JSON line per file' }),
    },
    handler: async ({ files, kind, json }) => {
      if (files.length === 0) {
        const message = 'no file; give at least one path, such as declaration.jsonc';
        return printFailure(io, createCallFailure('bad-request', message), json);
      }
      let exitCode = 0;
      for (const file of files) {
        const text = await readTextFile(io, file);
        if (text.isErr) {
          exitCode = printFailure(io, text.error, json);
          continue;
        }
        const checked = checkFile(text.value, file, kind);
        if (checked.faults.length > 0) exitCode = answers['bad-declaration'].exitCode;
        if (json) io.print(`${JSON.stringify({ file, ...checked })}\n`);
        else if (checked.faults.length === 0) io.print(`${file}: ${checked.kind} without faults\n`);
        for (const fault of json ? [] : checked.faults) io.printError(`${formatFault(fault)}\n`);
      }
      return exitCode;
    },
  });
}
