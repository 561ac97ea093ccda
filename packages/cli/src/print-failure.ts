import { answers } from '@acaciahoist/errors/answers';
import { Execution } from '@acaciahoist/errors/execution';
import type { CallFailure } from './call-failure.js';
import type { CommandIo } from './command-io.js';

const executionTexts: Readonly<Record<Execution, string>> = {
  [Execution.notRun]: 'the work did not run',
  [Execution.ran]: 'the work ran',
  [Execution.unknown]: 'it is unknown whether the work ran',
};

/** Prints a failure to the standard error and returns its exit code. */
export function printFailure(io: CommandIo, failure: CallFailure, isJson: boolean): number {
  const { exitCode, repeatable } = answers[failure.kind];
  if (isJson) {
    io.printError(`${JSON.stringify({ error: failure })}\n`);
    return exitCode;
  }
  const repeatHint = repeatable ? '; the command may be repeated' : '';
  io.printError(`error (${failure.kind}): ${failure.message}\n`);
  io.printError(`${executionTexts[failure.execution]}${repeatHint}\n`);
  for (const [name, value] of Object.entries(failure.details)) {
    const text = typeof value === 'string' ? value : JSON.stringify(value);
    io.printError(text.includes('\n') ? `${name}:\n${text}\n` : `${name}: ${text}\n`);
  }
  return exitCode;
}
