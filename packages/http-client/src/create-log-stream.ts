import { Result } from 'true-myth/result';
import { Failure } from '@acaciahoist/errors';
import type { LogPage } from '@acaciahoist/types/log-page';
import type { LogStream } from '@acaciahoist/types/log-stream';
import type { Offset } from '@acaciahoist/types/offset';
import type { ExchangeResult } from './exchange-result.js';
import type { HttpClient } from './http-client.js';
import { JsonFields } from './json-fields.js';
import { pageCodec } from './page-codec.js';

/** Largest record that is appended: a partition snapshot at the limits of the package `journal`. */
const MAX_RECORD_BYTES = 32 * 1024 * 1024;

/** A page contains at least one record, whatever its size; 1 MiB is added for the headers. */
const MAX_PAGE_BYTES = MAX_RECORD_BYTES + 1024 * 1024;

/** Bytes of records requested per page. */
const REQUESTED_PAGE_BYTES = 2 * 1024 * 1024;

/** Difference between the timeout of a read and the time for which the log waits for a record. */
const READ_TIMEOUT_MARGIN_MS = 2_000;

function createUnavailableFailure(message: string, details: Record<string, unknown> = {}): Failure {
  return Failure.create('log-unavailable', message, details);
}

/** Returns true for a status which means that the log certainly did not append the record. */
function isRefusal(status: number): boolean {
  return status === 503 || (status >= 400 && status < 500 && status !== 408);
}

function readAppendResult(result: ExchangeResult): Result<Offset, Failure> {
  if (result.type === 'not-sent')
    return Result.err(createUnavailableFailure(result.reason, { sent: false }));
  if (result.type === 'unknown') return Result.err(Failure.create('append-unknown', result.reason));
  const { status } = result;
  if (isRefusal(status)) {
    return Result.err(
      createUnavailableFailure(`the log rejected the append with status ${status}`, { status }),
    );
  }
  const offset = JsonFields.read(result.body, (fields) => fields.integer('offset'));
  if (status === 200 && offset.isOk) return Result.ok(offset.value);
  return Result.err(
    Failure.create(
      'append-unknown',
      `the log answered with status ${status} and without a valid offset`,
      { status },
    ),
  );
}

/** Creates the client for one stream of the log. It never sends an append twice. */
export function createLogStream(settings: {
  http: HttpClient;
  /** `ip:port` of the log. */
  address: string;
  stream: string;
}): LogStream {
  const { http, address } = settings;
  const path = `/streams/${encodeURIComponent(settings.stream)}`;
  return {
    async append(data, timeoutMs) {
      if (data.length > MAX_RECORD_BYTES) {
        return Result.err(
          createUnavailableFailure(
            `the record has ${data.length} bytes, at most ${MAX_RECORD_BYTES} are allowed`,
            {
              sent: false,
            },
          ),
        );
      }
      const result = await http.call(address, {
        method: 'POST',
        path,
        headers: { 'content-type': 'application/octet-stream' },
        body: data,
        timeoutMs,
        maxResponseBytes: 4_096,
      });
      return readAppendResult(result);
    },

    async read(from, waitMs): Promise<Result<LogPage, Failure>> {
      const logWaitMs = Math.max(0, Math.ceil(waitMs));
      const result = await http.call(address, {
        method: 'GET',
        path: `${path}?from=${from}&waitMs=${logWaitMs}&maxBytes=${REQUESTED_PAGE_BYTES}`,
        headers: { accept: 'application/octet-stream' },
        timeoutMs: logWaitMs + READ_TIMEOUT_MARGIN_MS,
        maxResponseBytes: MAX_PAGE_BYTES,
        longPoll: logWaitMs > 0,
      });
      if (result.type !== 'reply') return Result.err(createUnavailableFailure(result.reason));
      if (result.status !== 200) {
        return Result.err(
          createUnavailableFailure(`the log answered with status ${result.status}`, {
            status: result.status,
          }),
        );
      }
      const page = pageCodec
        .decode(result.body)
        .mapErr((reason) => createUnavailableFailure(reason));
      const firstRecord = page.isOk ? page.value.records[0] : undefined;
      if (page.isErr || firstRecord === undefined) return page;
      // A page that starts at another offset would skip records or contain records that were already read.
      const expectedOffset = Math.max(from, page.value.firstRetained);
      if (firstRecord.offset === expectedOffset) return page;
      return Result.err(
        createUnavailableFailure(
          `the page starts at offset ${firstRecord.offset} instead of ${expectedOffset}`,
        ),
      );
    },
  };
}
