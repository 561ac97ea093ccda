import { test } from 'node:test';
import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';
import { expect } from 'earl';
import { SystemClock } from '@acaciahoist/clock/system-clock';
import { readLogLines } from './read-log-lines.js';

// These tests use fixed inputs and no seed.

const clock = SystemClock.create();

/** Bytes that the reader may keep of a line of 100 MB. */
const MAX_KEPT_BYTES = 10_000_000;

async function* cut(bytes: Uint8Array, chunkBytes: number): AsyncGenerator<Uint8Array> {
  for (let start = 0; start < bytes.length; start += chunkBytes)
    yield await Promise.resolve(bytes.subarray(start, start + chunkBytes));
}

async function readMessages(text: string, chunkBytes: number): Promise<(string | undefined)[]> {
  const messages: (string | undefined)[] = [];
  for await (const line of readLogLines(cut(Buffer.from(text), chunkBytes)))
    messages.push(line?.fields.get('message'));
  return messages;
}

const format = (message: string) => `1.5 front event=alarm message="${message}"`;

// Guards against lines that are lost or damaged where two pieces of a file meet.
test('the log reader yields the same lines for pieces of any size', async () => {
  const text = `${format('größer')}\n\nno line\r\n${format('zwei')}\r\n${format('last')}`;
  for (const chunkBytes of [1, 2, 3, 7, 64, 4096])
    expect(await readMessages(text, chunkBytes)).toEqual(['größer', undefined, 'zwei', 'last']);
});

// Guards against a file without line breaks that fills the memory.
test('the log reader keeps no more of a line than its limit and continues with the next one', async () => {
  setFlagsFromString('--expose-gc');
  const collectGarbage = runInNewContext('gc') as () => void;
  collectGarbage();
  const usedBefore = process.memoryUsage().arrayBuffers;
  let keptBytes = Infinity;
  async function* chunks(): AsyncGenerator<Uint8Array> {
    for (let index = 0; index < 100; index += 1)
      yield await Promise.resolve(Buffer.alloc(1_000_000, 'x'));
    // Collected buffers are freed by another thread, and still count for some milliseconds.
    for (let attempt = 0; attempt < 100 && keptBytes >= MAX_KEPT_BYTES; attempt += 1) {
      collectGarbage();
      keptBytes = process.memoryUsage().arrayBuffers - usedBefore;
      await new Promise<void>((resolve) => clock.after(20, resolve));
    }
    yield Buffer.from(`\n${format('next')}\n`);
  }
  const messages: (string | undefined)[] = [];
  for await (const line of readLogLines(chunks())) messages.push(line?.fields.get('message'));
  expect(messages).toEqual([undefined, 'next']);
  expect(keptBytes).toBeLessThan(MAX_KEPT_BYTES);
});
