/** Counts operations in flight, so that a stopping process can wait until they have ended. */
export class InFlightCounter {
  static create(): InFlightCounter {
    return new InFlightCounter();
  }

  private count = 0;
  private draining = false;
  private drainResolvers: (() => void)[] = [];

  private constructor() {
    // Private: instances come from create().
  }

  size(): number {
    return this.count;
  }

  isDraining(): boolean {
    return this.draining;
  }

  async run<T>(work: () => Promise<T>): Promise<T> {
    this.count += 1;
    try {
      return await work();
    } finally {
      this.count -= 1;
      if (this.count === 0) this.resolveDrains();
    }
  }

  /** Resolves when no operation is in flight. After this call the caller must not start new ones. */
  drain(): Promise<void> {
    this.draining = true;
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
