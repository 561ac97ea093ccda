import { Result } from 'true-myth/result';
import { formatFault } from '@acaciahoist/declaration/format-fault';
import { parseSettings } from '@acaciahoist/declaration/parse-settings';
import type { Settings } from '@acaciahoist/types/settings';
import type { CallFailure } from './call-failure.js';
import { createCallFailure } from './create-call-failure.js';
import type { CommandIo } from './command-io.js';
import { readTextFile } from './read-text-file.js';

/** Reads and checks a settings file. Fails with `bad-declaration` if it has faults or another role. */
export async function readSettings<Role extends Settings['role']>(
  io: CommandIo,
  file: string,
  role: Role,
): Promise<Result<Extract<Settings, { role: Role }>, CallFailure>> {
  const text = await readTextFile(io, file);
  if (text.isErr) return Result.err(text.error);
  const parsed = parseSettings(text.value, file);
  if (parsed.isErr)
    return Result.err(
      createCallFailure('bad-declaration', parsed.error.map(formatFault).join('\n')),
    );
  if (parsed.value.role === role)
    return Result.ok(parsed.value as Extract<Settings, { role: Role }>);
  const message = `${file} has the role "${parsed.value.role}"; give a settings file with "role": "${role}"`;
  return Result.err(createCallFailure('bad-declaration', message));
}
