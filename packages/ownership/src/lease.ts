/** The lease and the hold time of an owner, on the monotonic clock of its process. */
export class Lease {
  static create(leaseMs: number, holdMs: number): Lease {
    return new Lease(leaseMs, holdMs);
  }

  /** Time before which the last durable record was certainly not appended. */
  private startMs = -Infinity;

  private constructor(
    private readonly leaseMs: number,
    private readonly holdMs: number,
  ) {}

  /** Restarts the lease and the hold time at a time before the append was sent. Never shortens them. */
  extend(startMs: number): void {
    this.startMs = Math.max(this.startMs, startMs);
  }

  /** Ends the lease and the hold time. */
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
