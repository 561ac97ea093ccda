import { command, flag, positional, restPositionals, string } from 'cmd-ts';
import { Result } from 'true-myth/result';
import type { CallFailure } from '../../call-failure.js';
import type { CommandIo } from '../../command-io.js';
import { createCallFailure } from '../../create-call-failure.js';
import type { LogLine } from '../../log-lines/log-line.js';
import { readLogLines } from '../../log-lines/read-log-lines.js';
import { printFailure } from '../../print-failure.js';
import { explainId } from './explain-id.js';
import type { Explanation } from './explanation.js';
import { printExplanation } from './print-explanation.js';

export function createExplainCommand(io: CommandIo) {
  return command({
    name: 'explain',
    description:
      'Finds in the logs of processes in the platform role what decided about a job, step, task or worker, what the decision was based on and what the processes knew at that time.',
    examples: [
      {
        description: 'Logs of all processes',
        command: 'acaciahoist explain d0c9d7c1431341fc logs/frontend-1.txt logs/frontend-2.txt',
      },
      {
        description: 'For a program',
        command: 'acaciahoist explain --json i-059bee0bc4 all.txt',
      },
    ],
    args: {
      id: positional({ type: string, displayName: 'ID' }),
      files: restPositionals({ type: string, displayName: 'FILE' }),
      json: flag({ long: 'json', description: 'print JSON for programs, also for errors' }),
    },
    handler: async ({ id, files, json }) => {
      const explanation = await explainFiles(io, id, files);
      if (explanation.isErr) return printFailure(io, explanation.error, json);
      printExplanation(io, explanation.value, json);
      return 0;
    },
  });
}

/** Fails as a whole if one file is unreadable, since the deciding line could be in it. */
async function explainFiles(
  io: CommandIo,
  id: string,
  files: readonly string[],
): Promise<Result<Explanation, CallFailure>> {
  if (files.length === 0) {
    const message = 'no file; give at least one file with the logs of the processes';
    return Result.err(createCallFailure('bad-request', message));
  }
  let currentFile = '';
  async function* readLines(): AsyncGenerator<LogLine | undefined> {
    for (const file of files) {
      currentFile = file;
      yield* readLogLines(io.readChunks(file));
    }
  }
  try {
    return await explainId(id, readLines);
  } catch (error) {
    const reason = error instanceof Error ? error.message : String(error);
    const message = `cannot read ${currentFile}: ${reason}; give the paths of log files`;
    return Result.err(createCallFailure('bad-request', message));
  }
}
