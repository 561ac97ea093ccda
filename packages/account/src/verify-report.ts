import { Result } from 'true-myth/result';
import type { CellReport } from './cell-report.js';
import type { ReportDifference } from './report-difference.js';
import { reportText } from './report-text.js';

const LINE_FEED = 10;

/**
 * Compares a printed report byte by byte with the text of the expected report. Returns the number
 * of lines when they are equal, otherwise the first line that differs.
 */
export function verifyReport(
  text: string | Uint8Array,
  report: CellReport,
): Result<number, ReportDifference> {
  const expected = Buffer.from(reportText(report));
  const actual = typeof text === 'string' ? Buffer.from(text) : Buffer.from(text);
  const differenceOffset = findDifference(expected, actual);
  if (differenceOffset === undefined) return Result.ok(countLines(expected));
  const line = countLines(expected.subarray(0, differenceOffset)) + 1;
  return Result.err({
    line,
    expected: extractLine(expected, differenceOffset),
    found: extractLine(actual, differenceOffset),
  });
}

function findDifference(expected: Buffer, actual: Buffer): number | undefined {
  const commonLength = Math.min(expected.length, actual.length);
  for (let offset = 0; offset < commonLength; offset += 1)
    if (expected[offset] !== actual[offset]) return offset;
  return expected.length === actual.length ? undefined : commonLength;
}

function countLines(bytes: Buffer): number {
  let lines = 0;
  for (const byte of bytes) if (byte === LINE_FEED) lines += 1;
  return lines;
}

/** Returns the line that contains the byte at `offset`, with its line feed; null after the end. */
function extractLine(bytes: Buffer, offset: number): string | null {
  const start = offset === 0 ? 0 : bytes.lastIndexOf(LINE_FEED, offset - 1) + 1;
  if (start >= bytes.length) return null;
  const end = bytes.indexOf(LINE_FEED, offset);
  return bytes.subarray(start, end === -1 ? bytes.length : end + 1).toString();
}
