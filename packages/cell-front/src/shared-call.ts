/**
 * Shares the calls of a function among callers. A caller gets the result of a call that began after it asked; while
 * one is outstanding, all new callers wait for the same next one. Load pattern: hundreds of refusals per second, each
 * of which needs to know that its job is not in the log.
 */
export class SharedCall<Value> {
  static create<Value>(call: () => Promise<Value>): SharedCall<Value> {
    return new SharedCall(call);
  }

  private outstanding: Promise<Value> | undefined;
  private next: Promise<Value> | undefined;

  private constructor(private readonly call: () => Promise<Value>) {}

  run(): Promise<Value> {
    if (this.outstanding === undefined) return this.start();
    this.next ??= this.outstanding.then(
      () => this.start(),
      () => this.start(),
    );
    return this.next;
  }

  private start(): Promise<Value> {
    this.next = undefined;
    const started = this.call().finally(() => {
      if (this.outstanding === started) this.outstanding = undefined;
    });
    this.outstanding = started;
    return started;
  }
}
