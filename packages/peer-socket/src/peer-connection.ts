import WebSocket from 'ws';
import type { Clock } from '@acaciahoist/clock';
import { OutstandingCalls } from '@acaciahoist/peer-protocol';
import { frameCodec } from '@acaciahoist/peer-protocol/frame-codec';
import type { PeerFrame } from '@acaciahoist/types/peer-frame';
import type { ProcessIdentity } from '@acaciahoist/types/process-identity';

/** Limit on unsent bytes. Above it the peer does not seem to read, so further calls fail at once. */
const MAX_BUFFERED_BYTES = 8 * 1024 * 1024;

/** An outgoing WebSocket connection with its outstanding calls. */
export class PeerConnection {
  /**
   * Opens a connection. `onEnd` runs once, when the attempt fails or the connection ends; its argument
   * is true when the address refused the connection.
   */
  static create(options: {
    clock: Clock;
    identity: ProcessIdentity;
    address: string;
    connectTimeoutMs: number;
    onOpen: () => void;
    onEnd: (isRefused: boolean) => void;
  }): PeerConnection {
    const ws = new WebSocket(`ws://${options.address}`, {
      handshakeTimeout: options.connectTimeoutMs,
      maxPayload: frameCodec.maxFrameBytes,
      perMessageDeflate: false,
    });
    return new PeerConnection(ws, options);
  }

  readonly calls: OutstandingCalls;
  bytesSent = 0;
  /** Monotonic time of the last frame from the peer, or of the opening before the first frame. */
  lastFrameAtMs: number;
  private isRefused = false;

  private constructor(
    private readonly ws: WebSocket,
    options: Parameters<typeof PeerConnection.create>[0],
  ) {
    const { clock, identity } = options;
    this.lastFrameAtMs = clock.monotonicMs();
    this.calls = OutstandingCalls.create({ clock, identity, send: (frame) => this.send(frame) });
    ws.on('open', () => {
      this.lastFrameAtMs = clock.monotonicMs();
      options.onOpen();
    });
    ws.on('error', (error: NodeJS.ErrnoException) => {
      this.isRefused = error.code === 'ECONNREFUSED';
    });
    ws.on('close', () => {
      this.calls.endAll();
      options.onEnd(this.isRefused);
    });
    ws.on('message', (data: Buffer) => {
      this.lastFrameAtMs = clock.monotonicMs();
      const frame = frameCodec.decode(data);
      if (frame.isOk && frame.value.kind !== 'call') this.calls.acceptReply(frame.value);
    });
  }

  get isOpen(): boolean {
    return this.ws.readyState === WebSocket.OPEN;
  }

  /** Closes the connection at once; outstanding calls fail with `outcome-unknown`. */
  terminate(): void {
    this.calls.endAll();
    this.ws.terminate();
  }

  private send(frame: PeerFrame): boolean {
    if (!this.isOpen || this.ws.bufferedAmount > MAX_BUFFERED_BYTES) return false;
    const data = frameCodec.encode(frame);
    this.bytesSent += data.byteLength;
    this.ws.send(data);
    return true;
  }
}
