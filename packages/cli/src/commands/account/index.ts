import { subcommands } from 'cmd-ts';
import type { CommandIo } from '../../command-io.js';
import { createShowCommand } from './show.js';
import { createVerifyCommand } from './verify.js';

export function createAccountCommands(io: CommandIo) {
  return subcommands({
    name: 'account',
    description: 'Shows and verifies the account of a period.',
    cmds: { show: createShowCommand(io), verify: createVerifyCommand(io) },
  });
}
