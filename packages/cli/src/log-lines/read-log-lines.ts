import type { LogLine } from './log-line.js';
import { parseLogLine } from './parse-log-line.js';

/** Limit on the memory for one line in bytes; the program writes shorter ones. A longer line is unreadable. */
const MAX_LINE_BYTES = 65_536;
const LINE_FEED = 10;

/**
 * Reads the lines of a log without keeping more than one of them in memory. Yields undefined for a line that
 * cannot be read, and nothing for a blank line.
 */
export async function* readLogLines(
  chunks: AsyncIterable<Uint8Array>,
): AsyncGenerator<LogLine | undefined> {
  const decoder = new TextDecoder();
  let parts: Uint8Array[] = [];
  let partBytes = 0;
  const takeLine = (last: Uint8Array): string | undefined => {
    const bytes = Buffer.concat([...parts, last]);
    const isTooLong = partBytes + last.length > MAX_LINE_BYTES;
    parts = [];
    partBytes = 0;
    return isTooLong ? undefined : decoder.decode(bytes);
  };
  for await (const chunk of chunks) {
    let start = 0;
    for (;;) {
      const end = chunk.indexOf(LINE_FEED, start);
      if (end < 0) break;
      const text = takeLine(chunk.subarray(start, end));
      if (text === undefined) yield undefined;
      else if (text.trim() !== '') yield parseLogLine(text);
      start = end + 1;
    }
    const rest = chunk.subarray(start);
    if (partBytes <= MAX_LINE_BYTES) parts.push(rest);
    partBytes += rest.length;
  }
  const text = takeLine(new Uint8Array());
  if (text === undefined) yield undefined;
  else if (text.trim() !== '') yield parseLogLine(text);
}
