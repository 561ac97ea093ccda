import { command, flag } from 'cmd-ts';
import type { CommandIo } from '../../command-io.js';
import { fetchConfiguration } from '../../fetch-configuration.js';
import { serverOptions } from '../../server-options.js';
import { runWithServer } from '../../run-with-server.js';

export function createDumpCommand(io: CommandIo) {
  return command({
    name: 'dump',
    description:
      'Prints the state of a process as JSON, or the declaration in force of an entry process.',
    examples: [
      { description: 'State for a fault report', command: 'acaciahoist dump > state.json' },
      {
        description: 'Declaration in force; its revision goes to the standard error',
        command: 'acaciahoist dump --configuration > declaration.jsonc',
      },
    ],
    args: {
      configuration: flag({
        long: 'configuration',
        description: 'print the text of the declaration in force',
      }),
      ...serverOptions,
    },
    handler: (args) =>
      runWithServer(io, args, async (client) => {
        if (!args.configuration) {
          const state = await client.call({ method: 'GET', path: '/dump' });
          return state.map((value) => {
            io.print(`${JSON.stringify(value, null, args.json ? undefined : 2)}\n`);
            return 0;
          });
        }
        const current = await fetchConfiguration(client);
        return current.map((value) => {
          if (args.json) io.print(`${JSON.stringify(value)}\n`);
          else {
            io.printError(`revision ${value.revision}\n`);
            io.print(value.text);
          }
          return 0;
        });
      }),
  });
}
