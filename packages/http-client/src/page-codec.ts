import { Result } from 'true-myth/result';
import type { LogPage } from '@acaciahoist/types/log-page';
import type { LogRecord } from '@acaciahoist/types/log-record';

const HEADER_BYTES = 16;
const RECORD_HEADER_BYTES = 12;

/**
 * Encodes and decodes a page of log records. The format is big endian: `firstRetained` and `end` (u64
 * each), then for each record its offset (u64), the length of its data (u32) and its data.
 */
export const pageCodec = {
  encode(page: LogPage): Buffer {
    const header = Buffer.alloc(HEADER_BYTES);
    header.writeBigUInt64BE(BigInt(page.firstRetained), 0);
    header.writeBigUInt64BE(BigInt(page.end), 8);
    const chunks: Uint8Array[] = [header];
    for (const record of page.records) {
      const recordHeader = Buffer.alloc(RECORD_HEADER_BYTES);
      recordHeader.writeBigUInt64BE(BigInt(record.offset), 0);
      recordHeader.writeUInt32BE(record.data.length, 8);
      chunks.push(recordHeader, record.data);
    }
    return Buffer.concat(chunks);
  },

  /** Decodes a page; fails when offsets have gaps, are below `firstRetained` or are not below `end`. */
  decode(bytes: Buffer): Result<LogPage, string> {
    if (bytes.length < HEADER_BYTES) return Result.err('the page is shorter than its header');
    const firstRetained = Number(bytes.readBigUInt64BE(0));
    const end = Number(bytes.readBigUInt64BE(8));
    const records: LogRecord[] = [];
    let position = HEADER_BYTES;
    while (position < bytes.length) {
      const dataStart = position + RECORD_HEADER_BYTES;
      if (dataStart > bytes.length) return Result.err('a record is shorter than its header');
      const offset = Number(bytes.readBigUInt64BE(position));
      const dataEnd = dataStart + bytes.readUInt32BE(position + 8);
      if (dataEnd > bytes.length) return Result.err(`record ${offset} is truncated`);
      const previousOffset = records.at(-1)?.offset;
      if (previousOffset !== undefined && offset !== previousOffset + 1)
        return Result.err(`record ${previousOffset + 1} is missing before record ${offset}`);
      if (offset < firstRetained || offset >= end)
        return Result.err(
          `offset ${offset} is not in the range from ${firstRetained} to ${end} (exclusive)`,
        );
      records.push({ offset, data: bytes.subarray(dataStart, dataEnd) });
      position = dataEnd;
    }
    return Result.ok({ firstRetained, end, records });
  },
};
