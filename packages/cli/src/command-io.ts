import type { Clock } from '@acaciahoist/clock';

/** Output, files and clock that a command uses. Tests pass their own implementation. */
export interface CommandIo {
  /** Writes to the standard output. */
  print(text: string): void;
  /** Writes to the standard error. */
  printError(text: string): void;
  /** Rejects when the file cannot be read. */
  readFile(path: string): Promise<Uint8Array>;
  /** Reads a file of any size piece by piece. Throws while it is read when that fails. */
  readChunks(path: string): AsyncIterable<Uint8Array>;
  clock: Clock;
}
