import { answers } from '@acaciahoist/errors/answers';
import { runCommandLine } from './run-command-line.js';
import { createSystemIo } from './create-system-io.js';

// A reader that closes the pipe early, such as `head`, must not make the command fail.
process.stdout.on('error', (error: NodeJS.ErrnoException) => {
  if (error.code !== 'EPIPE') throw error;
});

runCommandLine(process.argv.slice(2), createSystemIo()).then(
  (exitCode) => {
    process.exitCode = exitCode;
  },
  (error: unknown) => {
    // Sockets and timers that the failed command left open would prevent the process from exiting.
    process.stderr.write(`${error instanceof Error ? error.message : String(error)}\n`);
    process.exit(answers.internal.exitCode);
  },
);
