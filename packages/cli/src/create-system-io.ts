import { createReadStream } from 'node:fs';
import { readFile } from 'node:fs/promises';
import { SystemClock } from '@acaciahoist/clock/system-clock';
import type { CommandIo } from './command-io.js';

/** Creates the input, output and clock of this process. */
export function createSystemIo(): CommandIo {
  return {
    print: (text) => {
      process.stdout.write(text);
    },
    printError: (text) => {
      process.stderr.write(text);
    },
    readFile: (path) => readFile(path),
    readChunks: (path) => createReadStream(path) as AsyncIterable<Uint8Array>,
    clock: SystemClock.create(),
  };
}
