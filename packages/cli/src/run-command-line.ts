import { runSafely, subcommands } from 'cmd-ts';
import { answers } from '@acaciahoist/errors/answers';
import type { CommandIo } from './command-io.js';
import { createAccountCommands } from './commands/account/index.js';
import { createApplyCommand } from './commands/apply/index.js';
import { createBenchCommand } from './commands/bench/index.js';
import { createCancelCommand } from './commands/cancel/index.js';
import { createCheckCommand } from './commands/check/index.js';
import { createDumpCommand } from './commands/dump/index.js';
import { createEntryCommand } from './commands/entry/index.js';
import { createExplainCommand } from './commands/explain/index.js';
import { createExplainPlacementCommand } from './commands/explain-placement/index.js';
import { createQuickstartCommand } from './commands/quickstart/index.js';
import { createSoakCommand } from './commands/soak/index.js';
import { createStandInCommand } from './commands/stand-in/index.js';
import { createStatusCommand } from './commands/status/index.js';
import { createSubmitCommand } from './commands/submit/index.js';

/**
 * Runs one command line and returns its exit code: 0, a code of the error table, or a code of the command
 * (10 for a failed job, 1 for a report or a quickstart with differences).
 */
export async function runCommandLine(args: readonly string[], io: CommandIo): Promise<number> {
  const app = subcommands({
    name: 'acaciahoist',
    description: 'Shared cluster scheduler for services, batch work and gang jobs.',
    cmds: {
      check: createCheckCommand(io),
      apply: createApplyCommand(io),
      submit: createSubmitCommand(io),
      status: createStatusCommand(io),
      cancel: createCancelCommand(io),
      account: createAccountCommands(io),
      dump: createDumpCommand(io),
      explain: createExplainCommand(io),
      'explain-placement': createExplainPlacementCommand(io),
      entry: createEntryCommand(io),
      'stand-in': createStandInCommand(io),
      quickstart: createQuickstartCommand(io),
      bench: createBenchCommand(io),
      soak: createSoakCommand(io),
    },
  });
  const result = await runSafely(app, [...args]);
  if (result._tag === 'ok') return unwrapExitCode(result.value);
  const { message, exitCode, into } = result.error.config;
  if (into === 'stdout') io.print(`${message}\n`);
  else io.printError(`${message}\n`);
  // cmd-ts uses 1 for wrong arguments, which is the code of an internal error here.
  return exitCode === 0 ? 0 : answers['bad-request'].exitCode;
}

/** Finds the exit code in the result: cmd-ts wraps the value of the handler once for each level of subcommands. */
function unwrapExitCode(value: unknown): number {
  if (typeof value === 'number') return value;
  if (typeof value === 'object' && value !== null && 'value' in value)
    return unwrapExitCode(value.value);
  return answers.internal.exitCode;
}
