import { command, option, optional, positional, string } from 'cmd-ts';
import { Result } from 'true-myth/result';
import type { CellReport } from '@acaciahoist/account/cell-report';
import { parseReport } from '@acaciahoist/account/parse-report';
import { verifyReport } from '@acaciahoist/account/verify-report';
import type { CallFailure } from '../../call-failure.js';
import { createCallFailure } from '../../create-call-failure.js';
import type { CommandIo } from '../../command-io.js';
import { printFailure } from '../../print-failure.js';
import { readTextFile } from '../../read-text-file.js';
import { serverOptions } from '../../server-options.js';
import { runWithServer } from '../../run-with-server.js';
import { fetchReport } from './fetch-report.js';
import { readReportHeader } from './read-report-header.js';

/** Exit code when the file differs from the account. The error table uses the same code for internal errors. */
const DIFFERENCE_EXIT_CODE = 1;

export function createVerifyCommand(io: CommandIo) {
  return command({
    name: 'verify',
    description:
      'Compares a report file with the account, byte by byte, and prints the first line that differs. The exit code is 1 if a line differs.',
    examples: [
      {
        description: 'Compare with the account of the cell',
        command: 'acaciahoist account verify report-2026-12.txt',
      },
      {
        description: 'Compare with rows kept by "account show --json", without a server',
        command: 'acaciahoist account verify report-2026-12.txt --rows rows-2026-12.json',
      },
    ],
    args: {
      file: positional({ type: string, displayName: 'FILE', description: 'report to verify' }),
      rows: option({
        type: optional(string),
        long: 'rows',
        description: 'file with the output of "account show --json"',
      }),
      ...serverOptions,
    },
    handler: async (args) => {
      const text = await readTextFile(io, args.file);
      if (text.isErr) return printFailure(io, text.error, args.json);
      if (args.rows !== undefined) {
        const report = await readReportRows(io, args.rows);
        if (report.isErr) return printFailure(io, report.error, args.json);
        return printComparison(io, args, text.value, report.value);
      }
      const header = readReportHeader(text.value);
      if (header.isErr) return printFailure(io, header.error, args.json);
      const { period, user } = header.value;
      return runWithServer(io, args, async (client) => {
        const report = await fetchReport(client, period, user);
        return report.map((value) => printComparison(io, args, text.value, value));
      });
    },
  });
}

/** Reads a report from a file with the output of `account show --json`. */
async function readReportRows(
  io: CommandIo,
  path: string,
): Promise<Result<CellReport, CallFailure>> {
  const text = await readTextFile(io, path);
  return text.andThen((json) => {
    const createFailure = (reason: string) =>
      createCallFailure('bad-request', `${path}: ${reason}`);
    try {
      return parseReport(JSON.parse(json)).mapErr(({ message }) => createFailure(message));
    } catch {
      return Result.err(createFailure('not JSON; give a file written by "account show --json"'));
    }
  });
}

/** Compares a report text with the report, prints the result and returns the exit code. */
function printComparison(
  io: CommandIo,
  { file, json }: { file: string; json: boolean },
  text: string,
  report: CellReport,
): number {
  return verifyReport(text, report).match({
    Ok: (lines) => {
      io.print(
        json ? `${JSON.stringify({ file, lines })}\n` : `${file}: all ${lines} lines agree\n`,
      );
      return 0;
    },
    Err: (difference) => {
      const { line, expected, found } = difference;
      if (json) io.print(`${JSON.stringify({ file, ...difference })}\n`);
      else {
        const formatContent = (content: string | null) =>
          content === null ? 'the end of the report' : JSON.stringify(content);
        io.printError(`${file}:${line}: the line differs from the account\n`);
        io.printError(`expected ${formatContent(expected)}\nfound    ${formatContent(found)}\n`);
      }
      return DIFFERENCE_EXIT_CODE;
    },
  });
}
