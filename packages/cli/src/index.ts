import { runSafely, subcommands } from 'cmd-ts';
import { answers } from '@acaciahoist/errors/answers';
import type { CommandIo } from './command-io.js';
import { accountCommands } from './commands/account/index.js';
import { applyCommand } from './commands/apply/index.js';
import { benchCommand } from './commands/bench/index.js';
import { cancelCommand } from './commands/cancel/index.js';
import { checkCommand } from './commands/check/index.js';
import { dumpCommand } from './commands/dump/index.js';
import { entryCommand } from './commands/entry/index.js';
import { quickstartCommand } from './commands/quickstart/index.js';
import { standInCommand } from './commands/stand-in/index.js';
import { statusCommand } from './commands/status/index.js';
import { submitCommand } from './commands/submit/index.js';

/** Runs one command line and gives its exit code, which is one of the error table or 0. */
export async function runCommandLine(args: readonly string[], io: CommandIo): Promise<number> {
  const app = subcommands({
    name: 'acaciahoist',
    description: 'Shared cluster scheduler for services, batch work and gang jobs.',
    cmds: {
      check: checkCommand(io),
      apply: applyCommand(io),
      submit: submitCommand(io),
      status: statusCommand(io),
      cancel: cancelCommand(io),
      account: accountCommands(io),
      dump: dumpCommand(io),
      entry: entryCommand(io),
      'stand-in': standInCommand(io),
      quickstart: quickstartCommand(io),
      bench: benchCommand(io),
    },
  });
  const result = await runSafely(app, [...args]);
  if (result._tag === 'ok') return unwrapExitCode(result.value);
  const { message, exitCode, into } = result.error.config;
  if (into === 'stdout') io.print(`${message}\n`);
  else io.printError(`${message}\n`);
  // The library ends with 1 for any wrong argument.
  return exitCode === 0 ? 0 : answers['bad-request'].exitCode;
}

/** Each level of subcommands wraps the value of the handler. */
function unwrapExitCode(value: unknown): number {
  if (typeof value === 'number') return value;
  if (typeof value === 'object' && value !== null && 'value' in value)
    return unwrapExitCode(value.value);
  return answers.internal.exitCode;
}
