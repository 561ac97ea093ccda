import type { Socket } from 'node:net';

/** Which part of a call is lost: the request (no effect) or the response (after the effect). */
type Loss = 'none' | 'request' | 'response';

/** The faults of the connections to one member; every kind of member has them. */
export class LinkFaults {
  static create(): LinkFaults {
    return new LinkFaults();
  }

  /** What is lost of every call. */
  lossOfAllCalls: Loss = 'none';
  /** Delay of every response after the effect of the call. */
  responseDelayMs = 0;
  private lossBySocket = new WeakMap<Socket, Loss>();
  private readonly lossByProcess = new Map<string, Loss>();
  /** Resolves at the end of the freeze; undefined when the member is not frozen. */
  private frozenPeriod: Promise<void> | undefined;
  private endFrozenPeriod: (() => void) | undefined;

  get isFrozen(): boolean {
    return this.frozenPeriod !== undefined;
  }

  /** Sets what is lost of the calls of one process, or of all processes with the name `*`. */
  setProcessLoss(process: string, loss: Loss): void {
    if (loss === 'none') this.lossByProcess.delete(process);
    else this.lossByProcess.set(process, loss);
  }

  /** Sets what is lost of the calls on these connections. */
  setSocketLoss(sockets: Iterable<Socket>, loss: Loss): void {
    for (const socket of sockets) this.lossBySocket.set(socket, loss);
  }

  /**
   * Finds what is lost of a call by all faults together; the loss of the request takes precedence.
   */
  findLoss(process: string, socket: Socket): Loss {
    const losses = [
      this.lossOfAllCalls,
      this.lossBySocket.get(socket),
      this.lossByProcess.get(process),
      this.lossByProcess.get('*'),
    ];
    if (losses.includes('request')) return 'request';
    return losses.includes('response') ? 'response' : 'none';
  }

  /** `setFrozen(true)` holds every call until `setFrozen(false)`. */
  setFrozen(isFrozen: boolean): void {
    if (!isFrozen) {
      this.endFrozenPeriod?.();
      this.frozenPeriod = undefined;
      this.endFrozenPeriod = undefined;
      return;
    }
    this.frozenPeriod ??= new Promise((resolve) => {
      this.endFrozenPeriod = resolve;
    });
  }

  /** Resolves when the member is not frozen, even if it was frozen again in the meantime. */
  async waitWhileFrozen(): Promise<void> {
    while (this.frozenPeriod !== undefined) await this.frozenPeriod;
  }
}
