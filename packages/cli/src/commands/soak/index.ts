import { totalmem } from 'node:os';
import { command, flag, number, option } from 'cmd-ts';
import { runSoak } from '@acaciahoist/bench/soak/run-soak';
import { answers } from '@acaciahoist/errors/answers';
import type { CommandIo } from '../../command-io.js';
import { waitForStopSignal } from '../../wait-for-stop-signal.js';
import { formatSoakReport } from './format-soak-report.js';

const MIN_PROCESSES = 2;
/** Memory of an entry process under the load of a soak, with a margin. */
const PROCESS_MIB = 256;
/** Exit code of a soak with findings, as of a report with differences. */
const FINDINGS_EXIT_CODE = 1;

export function createSoakCommand(io: CommandIo) {
  return command({
    name: 'soak',
    description:
      'Runs real processes under faults that are drawn from a seed, and checks the promises; needs a checkout.',
    examples: [
      {
        description: 'Ten minutes with four processes',
        command: 'acaciahoist soak --seed 1 --minutes 10 --processes 4',
      },
    ],
    args: {
      seed: option({
        type: number,
        long: 'seed',
        description: 'seed of the schedule',
        defaultValue: () => 1,
      }),
      minutes: option({
        type: number,
        long: 'minutes',
        description: 'approximate duration',
        defaultValue: () => 1,
      }),
      processes: option({
        type: number,
        long: 'processes',
        description: 'number of entry processes',
        defaultValue: () => 3,
      }),
      json: flag({ long: 'json', description: 'print only a JSON object' }),
    },
    handler: async ({ seed, minutes, processes, json }) => {
      const maxProcesses = Math.floor(totalmem() / 4 / (PROCESS_MIB * 1024 * 1024));
      if (
        !Number.isInteger(processes) ||
        processes < MIN_PROCESSES ||
        processes > maxProcesses ||
        !(minutes > 0)
      ) {
        const range = `between ${MIN_PROCESSES} and ${maxProcesses}`;
        io.printError(`--processes must be ${range}, and --minutes more than 0\n`);
        return answers['bad-request'].exitCode;
      }
      const controller = new AbortController();
      void waitForStopSignal(() => undefined).then(() => {
        controller.abort();
      });
      const report = await runSoak({ seed, minutes, processes, signal: controller.signal });
      io.print(json ? `${JSON.stringify(report)}\n` : formatSoakReport(report));
      return report.findings.length > 0 ? FINDINGS_EXIT_CODE : 0;
    },
  });
}
