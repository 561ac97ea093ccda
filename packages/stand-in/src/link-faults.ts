import type { Socket } from 'node:net';

/** Which part of a call is lost: the request (no effect) or the response (after the effect). */
type Loss = 'none' | 'request' | 'response';

/** Faults of the way to one stand-in, the same for all kinds of stand-in. */
export class LinkFaults {
  static create(): LinkFaults {
    return new LinkFaults();
  }

  /** Loss of all calls. */
  silent: Loss = 'none';
  /** Delay of all responses after the effect. */
  slowMs = 0;
  private lossBySocket = new WeakMap<Socket, Loss>();
  private readonly lossByProcess = new Map<string, Loss>();
  private frozenPeriod: Promise<void> | undefined;
  private endFrozenPeriod: (() => void) | undefined;

  get frozen(): boolean {
    return this.frozenPeriod !== undefined;
  }

  /** Loses the calls of one process, or of all with the name `*`. */
  setProcessLoss(process: string, loss: Loss): void {
    if (loss === 'none') this.lossByProcess.delete(process);
    else this.lossByProcess.set(process, loss);
  }

  setSocketLoss(sockets: Iterable<Socket>, loss: Loss): void {
    for (const socket of sockets) this.lossBySocket.set(socket, loss);
  }

  findLoss(process: string, socket: Socket): Loss {
    const losses = [
      this.silent,
      this.lossBySocket.get(socket),
      this.lossByProcess.get(process),
      this.lossByProcess.get('*'),
    ];
    if (losses.includes('request')) return 'request';
    return losses.includes('response') ? 'response' : 'none';
  }

  /** Holds every call until `freeze(false)`. */
  freeze(on: boolean): void {
    if (!on) {
      this.endFrozenPeriod?.();
      this.frozenPeriod = undefined;
      this.endFrozenPeriod = undefined;
      return;
    }
    this.frozenPeriod ??= new Promise((resolve) => {
      this.endFrozenPeriod = resolve;
    });
  }

  async waitWhileFrozen(): Promise<void> {
    while (this.frozenPeriod !== undefined) await this.frozenPeriod;
  }
}
