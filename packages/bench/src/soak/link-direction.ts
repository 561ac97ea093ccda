import type { Socket } from 'node:net';
import type { Clock } from '@acaciahoist/clock';

interface Options {
  clock: Clock;
  name: 'request' | 'response';
  from: Socket;
  to: Socket;
  delayMs: () => number;
}

/** Passes on what one side of a connection sends, in order, with the delay that is set when it arrives. */
export class LinkDirection {
  static create(options: Options): LinkDirection {
    return new LinkDirection(options);
  }

  readonly name: 'request' | 'response';
  private readonly waiting: { dueMs: number; pass: () => void }[] = [];
  private isSilent = false;
  private hasTimer = false;

  private constructor(private readonly options: Options) {
    const { from, to } = options;
    this.name = options.name;
    from.on('data', (chunk: Buffer) => {
      this.passLater(() => to.write(chunk));
    });
    from.on('end', () => {
      this.passLater(() => to.end());
    });
    // The `close` event follows and passes the failure on.
    from.on('error', () => undefined);
    from.on('close', (hasFailed: boolean) => {
      if (hasFailed) this.passLater(() => to.resetAndDestroy());
    });
  }

  /** While it is cut, nothing is read, so that the system keeps what was sent. */
  setCut(isCut: boolean): void {
    if (isCut) this.options.from.pause();
    else this.options.from.resume();
  }

  /** Discards everything that arrives later. */
  silence(): void {
    this.isSilent = true;
  }

  private passLater(pass: () => void): void {
    if (this.isSilent) return;
    const { clock, delayMs } = this.options;
    const dueMs = Math.max(clock.monotonicMs() + delayMs(), this.waiting.at(-1)?.dueMs ?? 0);
    this.waiting.push({ dueMs, pass });
    this.passDue();
  }

  private passDue(): void {
    const nowMs = this.options.clock.monotonicMs();
    while (this.waiting[0] !== undefined && this.waiting[0].dueMs <= nowMs) {
      const next = this.waiting.shift();
      if (!this.isSilent) next?.pass();
    }
    const head = this.waiting[0];
    if (head === undefined || this.hasTimer) return;
    this.hasTimer = true;
    this.options.clock.after(Math.ceil(head.dueMs - nowMs), () => {
      this.hasTimer = false;
      this.passDue();
    });
  }
}
