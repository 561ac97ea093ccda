import { command, flag } from 'cmd-ts';
import type { CommandIo } from '../../command-io.js';
import { runQuickstart } from './run-quickstart.js';

export function createQuickstartCommand(io: CommandIo) {
  return command({
    name: 'quickstart',
    description:
      'Runs three entry processes with a simulated platform in this process, sends requests, submits a job of each kind and prints the account. The exit code is 0 only if every job and request has the expected outcome.',
    examples: [{ description: 'Run it', command: 'acaciahoist quickstart' }],
    args: {
      verbose: flag({ long: 'verbose', description: 'also print the log events of the processes' }),
    },
    handler: (args) => runQuickstart(io, args),
  });
}
