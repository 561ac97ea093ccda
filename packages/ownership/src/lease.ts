/** The lease and the hold time of an owner, on the monotonic clock of its process. */
export class Lease {
  static create(leaseMs: number, holdMs: number): Lease {
    return new Lease(leaseMs, holdMs);
  }

  /** Lower bound of the time of the last durable record. */
  private startMs = -Infinity;

  private constructor(
    private readonly leaseMs: number,
    private readonly holdMs: number,
  ) {}

  /** Counts the lease from the time before the append was sent. Never shortens it. */
  extend(startMs: number): void {
    this.startMs = Math.max(this.startMs, startMs);
  }

  /** Forgets the last durable record. */
  clear(): void {
    this.startMs = -Infinity;
  }

  leaseStartMs(): number {
    return this.startMs;
  }

  leaseUntilMs(): number {
    return this.startMs + this.leaseMs;
  }

  holdUntilMs(): number {
    return this.startMs + this.holdMs;
  }
}
