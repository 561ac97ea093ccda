import { connect, type Socket } from 'node:net';
import { Client, type Dispatcher } from 'undici';
import { Result } from 'true-myth/result';
import type { Clock } from '@acaciahoist/clock';
import type { ExchangeRequest } from './exchange-request.js';
import type { ExchangeResult } from './exchange-result.js';
import { ReplyCollector } from './reply-collector.js';

const DEFAULT_MAX_RESPONSE_BYTES = 4 * 1024 * 1024;

/** Limits the wait for an address that does not accept connections, even when the deadline is later. */
const CONNECT_TIMEOUT_MS = 2_000;

/** Longer than the idle limit of the pool (30 s by default), so that the pool closes connections first. */
const KEEP_ALIVE_TIMEOUT_MS = 120_000;

/** A keep-alive connection that carries one exchange at a time and is never reopened. */
export class Connection {
  /**
   * Connects to `address` until `deadlineAtMs` of the monotonic clock. The returned connection is
   * established, so that no request is queued while it connects.
   */
  static open(
    clock: Clock,
    address: string,
    deadlineAtMs: number,
    onClose: (connection: Connection) => void,
  ): Promise<Result<Connection, string>> {
    const [host = '', port = ''] = address.split(':');
    return new Promise((resolve) => {
      let socket: Socket;
      try {
        socket = connect({ host, port: Number(port), noDelay: true });
      } catch (error) {
        // Node throws for an address that is not `ip:port`, which a faulty VM list may contain.
        resolve(Result.err(String(error)));
        return;
      }
      const timeoutMs = Math.min(deadlineAtMs - clock.monotonicMs(), CONNECT_TIMEOUT_MS);
      const cancelTimer = clock.after(timeoutMs, () => {
        socket.destroy(
          new Error(`${address} did not accept a connection within ${Math.round(timeoutMs)} ms`),
        );
      });
      const fail = (error: Error): void => {
        cancelTimer();
        resolve(Result.err(error.message));
      };
      socket.once('error', fail);
      socket.once('connect', () => {
        cancelTimer();
        socket.off('error', fail);
        resolve(Result.ok(new Connection(clock, address, socket, onClose)));
      });
    });
  }

  private readonly client: Client;
  private isEnded = false;
  /** Monotonic time of the last complete reply. */
  lastReplyAtMs: number;
  /** Monotonic time at which the last exchange other than a probe began. The pool updates it. */
  lastCallAtMs: number;

  private constructor(
    private readonly clock: Clock,
    address: string,
    private readonly socket: Socket,
    onClose: (connection: Connection) => void,
  ) {
    this.lastReplyAtMs = clock.monotonicMs();
    this.lastCallAtMs = this.lastReplyAtMs;
    let isSocketPassed = false;
    this.client = new Client(`http://${address}`, {
      pipelining: 1,
      // The deadline of each exchange covers headers and body, so the timeouts of undici are disabled.
      headersTimeout: 0,
      bodyTimeout: 0,
      keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
      maxHeaderSize: 16_384,
      connect: (_options, callback) => {
        const isFirstConnect = !isSocketPassed;
        isSocketPassed = true;
        // Undici ignores a socket that is passed to the callback before this function returns.
        queueMicrotask(() => {
          if (isFirstConnect && !socket.destroyed) callback(null, socket);
          else callback(new Error('the connection was closed'), null);
        });
      },
    });
    // Before its first request the undici client does not handle errors of the socket.
    socket.on('error', () => undefined);
    socket.on('close', () => {
      this.isEnded = true;
      onClose(this);
    });
  }

  get isUsable(): boolean {
    return !this.isEnded;
  }

  /**
   * Sends one request and waits for the reply until `deadlineAtMs` of the monotonic clock. Any result
   * other than a complete reply makes the connection unusable, so that a late reply cannot be mistaken for
   * the reply to a later exchange; the pool closes the connection.
   */
  exchange(
    request: ExchangeRequest,
    headers: Readonly<Record<string, string>>,
    requestId: string,
    deadlineAtMs: number,
  ): Promise<ExchangeResult> {
    return new Promise((resolve) => {
      let isSent = false;
      let isFinished = false;
      const finish = (result: ExchangeResult): void => {
        if (isFinished) return;
        isFinished = true;
        cancelTimer();
        if (result.type === 'reply') this.lastReplyAtMs = this.clock.monotonicMs();
        else this.isEnded = true;
        resolve(result);
      };
      const fail = (reason: string): void => {
        finish({ type: isSent ? 'unknown' : 'not-sent', reason });
      };
      const cancelTimer = this.clock.after(deadlineAtMs - this.clock.monotonicMs(), () => {
        fail('the deadline passed before the reply was complete');
      });
      const collector = ReplyCollector.create(
        requestId,
        request.maxResponseBytes ?? DEFAULT_MAX_RESPONSE_BYTES,
      );
      const handler: Dispatcher.DispatchHandler = {
        onRequestStart() {
          // A request that was reported as not sent must not be written afterwards. Undici cannot send
          // it again after an error, because the connection is never reopened.
          if (isFinished) throw new Error('the exchange already ended');
          isSent = true;
        },
        onResponseStart(_controller, status, replyHeaders) {
          const rejectionReason = collector.begin(status, replyHeaders);
          if (rejectionReason !== undefined) fail(rejectionReason);
        },
        onResponseData(_controller, chunk) {
          const rejectionReason = isFinished ? undefined : collector.add(chunk);
          if (rejectionReason !== undefined) fail(rejectionReason);
        },
        onResponseEnd: () => {
          // After a pause of the process a late reply may be read before the timer callback runs.
          if (this.clock.monotonicMs() > deadlineAtMs) fail('the reply arrived after the deadline');
          else finish(collector.finish());
        },
        onResponseError(_controller, error) {
          fail(error.message);
        },
      };
      const { method, path } = request;
      const body = request.body ?? null;
      try {
        this.client.dispatch(
          { method, path, headers: { ...request.headers, ...headers }, body },
          handler,
        );
      } catch (error) {
        fail(String(error));
      }
    });
  }

  /** Closes the connection; the result of an exchange in progress is `not-sent` or `unknown`. */
  close(): void {
    this.isEnded = true;
    this.socket.destroy();
    if (!this.client.destroyed) void this.client.destroy().catch(() => undefined);
  }
}
