import { command, number, option, optional, positional, string } from 'cmd-ts';
import { Result } from 'true-myth/result';
import { parseDeclaration } from '@acaciahoist/declaration';
import { checkLayoutChange } from '@acaciahoist/declaration/check-layout-change';
import type { CallFailure } from '../../call-failure.js';
import { createCallFailure } from '../../create-call-failure.js';
import type { CommandIo } from '../../command-io.js';
import { createFaultFailure } from '../../create-fault-failure.js';
import { isRecord } from '../../is-record.js';
import { printFailure } from '../../print-failure.js';
import { readTextFile } from '../../read-text-file.js';
import type { ServerClient } from '../../server-client.js';
import { serverOptions } from '../../server-options.js';
import { runWithServer } from '../../run-with-server.js';
import { fetchConfiguration } from '../../fetch-configuration.js';

export function createApplyCommand(io: CommandIo) {
  return command({
    name: 'apply',
    description:
      'Checks a declaration and publishes it as the next revision. --base is the revision that the file was edited from: the command fails if another operator has published a revision since, so that no change is lost.',
    examples: [
      { description: 'First revision', command: 'acaciahoist apply declaration.jsonc' },
      {
        description: 'Edit the declaration in force, revision 6',
        command:
          'acaciahoist dump --configuration > declaration.jsonc; acaciahoist apply --base 6 declaration.jsonc',
      },
    ],
    args: {
      file: positional({ type: string, displayName: 'FILE', description: 'declaration' }),
      base: option({
        type: optional(number),
        long: 'base',
        description: 'revision that FILE was edited from; required once a revision is in force',
      }),
      ...serverOptions,
    },
    handler: async (args) => {
      const text = await readTextFile(io, args.file);
      if (text.isErr) return printFailure(io, text.error, args.json);
      const parsed = parseDeclaration(text.value, args.file);
      if (parsed.isErr)
        return printFailure(io, createFaultFailure(args.file, parsed.error), args.json);
      return runWithServer(io, args, async (client) => {
        const base = await resolveBaseRevision(client, args.base, text.value, args.file);
        if (base.isErr) return Result.err(base.error);
        const body = { baseRevision: base.value, text: text.value };
        const response = await client.call({ method: 'POST', path: '/configuration', body });
        return response.map((value) => {
          const revision = isRecord(value) ? value.revision : undefined;
          if (args.json) io.print(`${JSON.stringify(value)}\n`);
          else
            io.print(
              `revision ${typeof revision === 'number' ? revision : base.value + 1} is published\n`,
            );
          return 0;
        });
      });
    },
  });
}

/**
 * Returns the base revision for the publication. Fails when a revision is in force and no base was given,
 * and when the file changes the partition layout.
 */
async function resolveBaseRevision(
  client: ServerClient,
  givenBase: number | undefined,
  text: string,
  file: string,
): Promise<Result<number, CallFailure>> {
  const current = await fetchConfiguration(client);
  if (current.isErr) return Result.err(current.error);
  const { revision, text: textInForce } = current.value;
  if (givenBase === undefined && revision > 0) {
    const message = `revision ${revision} is in force; read it with "acaciahoist dump --configuration" and give --base ${revision} once ${file} contains its changes`;
    return Result.err(createCallFailure('revision-conflict', message));
  }
  const before = parseDeclaration(textInForce, `revision ${revision}`);
  const after = parseDeclaration(text, file);
  // Before the first revision the text in force is empty and does not parse; any layout is then allowed.
  if (before.isErr || after.isErr) return Result.ok(givenBase ?? revision);
  return checkLayoutChange(before.value, after.value)
    .map(() => givenBase ?? revision)
    .mapErr(({ kind, message, details }) => createCallFailure(kind, message, details));
}
