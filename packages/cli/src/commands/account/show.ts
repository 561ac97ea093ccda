import { command, option, optional, string } from 'cmd-ts';
import { reportJson } from '@acaciahoist/account/report-json';
import { reportText } from '@acaciahoist/account/report-text';
import type { CommandIo } from '../../command-io.js';
import { serverOptions } from '../../server-options.js';
import { runWithServer } from '../../run-with-server.js';
import { fetchReport } from './fetch-report.js';
import { periodType } from './period-type.js';

export function createShowCommand(io: CommandIo) {
  return command({
    name: 'show',
    description: 'Prints the report of a period. "account verify" needs the output unchanged.',
    examples: [
      {
        description: 'Keep the report of a month',
        command: 'acaciahoist account show --period 2026-12 > report-2026-12.txt',
      },
    ],
    args: {
      period: option({
        type: periodType,
        long: 'period',
        description: 'month such as 2026-12, or day such as 2026-12-04, in UTC',
      }),
      user: option({ type: optional(string), long: 'user', description: 'only this user' }),
      ...serverOptions,
    },
    handler: (args) =>
      runWithServer(io, args, async (client) => {
        const report = await fetchReport(client, args.period, args.user);
        return report.map((value) => {
          io.print(args.json ? `${JSON.stringify(reportJson(value))}\n` : reportText(value));
          return 0;
        });
      }),
  });
}
