import { Agent, request } from 'undici';
import { Result } from 'true-myth/result';
import type { CallFailure } from './call-failure.js';
import { createCallFailure } from './create-call-failure.js';
import { parseCallFailure } from './parse-call-failure.js';
import type { ServerCall } from './server-call.js';

const CONNECT_TIMEOUT_MS = 5000;
/** Longer than every deadline that the server sets for these calls. */
const RESPONSE_TIMEOUT_MS = 60_000;
/** Limit on the memory for one response, far above the size of a report of the cell or a dump. */
const MAX_RESPONSE_BYTES = 67_108_864;

/** Codes of connection errors that prove that the request was not sent. */
const notSentErrorCodes: readonly string[] = [
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
];

/** Calls the HTTP interface that one entry process offers to callers. */
export class ServerClient {
  /** `token` is empty when no token is sent. */
  static create(server: string, token: string): ServerClient {
    return new ServerClient(server, token);
  }

  private readonly agent = new Agent({
    connect: { timeout: CONNECT_TIMEOUT_MS },
    maxResponseSize: MAX_RESPONSE_BYTES,
  });

  private constructor(
    private readonly server: string,
    private readonly token: string,
  ) {}

  /**
   * Returns the decoded body of a response with a 2xx status, and a failure in all other cases. Never
   * rejects.
   */
  async call(call: ServerCall): Promise<Result<unknown, CallFailure>> {
    const timeoutMs = RESPONSE_TIMEOUT_MS + (call.waitMs ?? 0);
    try {
      const response = await request(`${this.server}${call.path}`, {
        method: call.method,
        dispatcher: this.agent,
        headersTimeout: timeoutMs,
        bodyTimeout: timeoutMs,
        headers: this.createHeaders(call),
        body: call.body === undefined ? null : JSON.stringify(call.body),
      });
      const body = parseJson(await response.body.text());
      const isSuccess = response.statusCode >= 200 && response.statusCode < 300;
      if (isSuccess && body !== undefined) return Result.ok(body);
      return Result.err(parseCallFailure(response.statusCode, body));
    } catch (error) {
      return Result.err(this.toCallFailure(error, call));
    }
  }

  /** Closes the connections. Calls without a response return a failure. */
  async close(): Promise<void> {
    await this.agent.destroy();
  }

  private createHeaders(call: ServerCall): Record<string, string> {
    const headers: Record<string, string> = { accept: 'application/json' };
    if (this.token !== '') headers.authorization = `Bearer ${this.token}`;
    if (call.body !== undefined) headers['content-type'] = 'application/json';
    return headers;
  }

  /**
   * Describes a call that got no response. The failure says "not run" only if no connection was made or
   * the call only reads.
   */
  private toCallFailure(error: unknown, call: ServerCall): CallFailure {
    const { code, message } = error as { code?: string; message?: string };
    const reason = code ?? message ?? 'unknown reason';
    if (code !== undefined && notSentErrorCodes.includes(code)) {
      const text = `cannot connect to ${this.server} (${reason}); start an entry process there or give another --server`;
      return createCallFailure('not-ready', text);
    }
    if (call.method === 'GET' || call.isReadOnly === true) {
      const text = `${this.server} did not answer (${reason}); repeat the command or give another --server`;
      return createCallFailure('not-ready', text);
    }
    const text = `the connection to ${this.server} ended before the answer (${reason}); look at the state before you repeat the command, or repeat it with the same idempotency key`;
    return createCallFailure('outcome-unknown', text);
  }
}

/** Returns null for an empty text and undefined for a text that is not JSON. */
function parseJson(text: string): unknown {
  if (text === '') return null;
  try {
    return JSON.parse(text) as unknown;
  } catch {
    return undefined;
  }
}
