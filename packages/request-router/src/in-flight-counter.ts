/** Counts operations in flight, so that a stopping process can wait until they have ended. */
export class InFlightCounter {
  static create(): InFlightCounter {
    return new InFlightCounter();
  }

  private count = 0;
  private hasDrainStarted = false;
  private drainResolvers: (() => void)[] = [];

  private constructor() {
    // Private: instances come from create().
  }

  size(): number {
    return this.count;
  }

  isDraining(): boolean {
    return this.hasDrainStarted;
  }

  /** Runs `work` and counts it until its promise settles. */
  async run<T>(work: () => Promise<T>): Promise<T> {
    this.count += 1;
    try {
      return await work();
    } finally {
      this.count -= 1;
      if (this.count === 0) this.resolveDrains();
    }
  }

  /**
   * Resolves when no operation is in flight. The counter does not refuse new operations; the caller checks
   * `isDraining` before each.
   */
  drain(): Promise<void> {
    this.hasDrainStarted = true;
    if (this.count === 0) return Promise.resolve();
    return new Promise((resolve) => {
      this.drainResolvers.push(resolve);
    });
  }

  private resolveDrains(): void {
    const resolvers = this.drainResolvers;
    this.drainResolvers = [];
    for (const resolve of resolvers) resolve();
  }
}
