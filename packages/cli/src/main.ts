import { answers } from '@acaciahoist/errors/answers';
import { runCommandLine } from './index.js';
import { createSystemIo } from './create-system-io.js';

// A reader that ends early, such as `head`, is not an error of the command.
process.stdout.on('error', (error: NodeJS.ErrnoException) => {
  if (error.code !== 'EPIPE') throw error;
});

runCommandLine(process.argv.slice(2), createSystemIo()).then(
  (exitCode) => {
    process.exitCode = exitCode;
  },
  (error: unknown) => {
    // Sockets and timers of a command that failed half-way would keep the process alive.
    process.stderr.write(`${error instanceof Error ? error.message : String(error)}\n`);
    process.exit(answers.internal.exitCode);
  },
);
