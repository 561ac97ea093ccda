/** Counts what is under way and lets a stopping process wait for its end. */
export class InFlightCounter {
  static create(): InFlightCounter {
    return new InFlightCounter();
  }

  private count = 0;
  private draining = false;
  private drainResolvers: (() => void)[] = [];

  private constructor() {
    // Created empty.
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

  /** Resolves when nothing is under way. The owner of this object admits nothing new from now on. */
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
