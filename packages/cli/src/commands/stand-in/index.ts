import { command, positional, string } from 'cmd-ts';
import { StandIn } from '@acaciahoist/stand-in';
import type { CommandIo } from '../../command-io.js';
import { printFailure } from '../../print-failure.js';
import { readSettings } from '../../read-settings.js';
import { waitForStopSignal } from '../../wait-for-stop-signal.js';
import { toStandInOptions } from './to-stand-in-options.js';

export function createStandInCommand(io: CommandIo) {
  return command({
    name: 'stand-in',
    description:
      'Runs the simulated platform: log, VM list, workers and runners, for tests and trials.',
    examples: [
      { description: 'Start it', command: 'acaciahoist stand-in examples/loopback/stand-in.jsonc' },
    ],
    args: {
      file: positional({ type: string, displayName: 'SETTINGS', description: 'settings file' }),
    },
    handler: async ({ file }) => {
      const settings = await readSettings(io, file, 'stand-in');
      if (settings.isErr) return printFailure(io, settings.error, false);
      const standIn = StandIn.create(toStandInOptions(settings.value));
      const stopSignal = waitForStopSignal(() => undefined);
      await standIn.start();
      for (const { address, dataCentre } of settings.value.entries) {
        const vm = {
          address,
          dataCentre,
          rack: '',
          role: 'entry',
          state: 'live',
          services: [],
        } as const;
        standIn.vmList.set(vm, true);
      }
      const { log, vmList, workers, runners } = standIn.addresses();
      io.print(`log=${log} vmList=${vmList} workers=${workers.length} runners=${runners.length}\n`);
      await stopSignal;
      await standIn.stop();
      return 0;
    },
  });
}
