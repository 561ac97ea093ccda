import { spawn, type ChildProcess } from 'node:child_process';
import type { Clock } from '@acaciahoist/clock';

const STOP_TIMEOUT_MS = 8_000;
const FIRST_LINE_TIMEOUT_MS = 20_000;

/** A Node.js child process, which is killed when its parent exits. */
export class Child {
  static create(clock: Clock, args: readonly string[], nodeArgs: readonly string[] = []): Child {
    return new Child(clock, spawn(process.execPath, [...nodeArgs, ...args], { stdio: 'pipe' }));
  }

  readonly pid: number;
  private output = '';
  private readonly exited: Promise<void>;
  private readonly kill = (): void => {
    this.child.kill('SIGKILL');
  };

  private constructor(
    private readonly clock: Clock,
    private readonly child: ChildProcess,
  ) {
    if (child.pid === undefined) {
      throw new Error(`the child process did not start: ${child.spawnargs.join(' ')}`);
    }
    this.pid = child.pid;
    const keep = (chunk: Buffer): void => {
      // Limited, because only the first line and the latest messages are needed.
      this.output = (this.output + chunk.toString()).slice(-100_000);
    };
    child.stdout?.on('data', keep);
    child.stderr?.on('data', keep);
    process.once('exit', this.kill);
    this.exited = new Promise((resolve) => {
      child.once('exit', () => {
        process.off('exit', this.kill);
        resolve();
      });
    });
  }

  /** Returns the last 100,000 characters of standard output and error. */
  getOutput(): string {
    return this.output;
  }

  /** Waits for the first line of output and returns it. */
  async waitForFirstLine(): Promise<string> {
    const endMs = this.clock.monotonicMs() + FIRST_LINE_TIMEOUT_MS;
    while (!this.output.includes('\n')) {
      if (this.child.exitCode !== null || this.clock.monotonicMs() > endMs) {
        throw new Error(
          `child process ${this.pid} exited or wrote no line within ${FIRST_LINE_TIMEOUT_MS} ms: ` +
            this.output,
        );
      }
      await new Promise<void>((resolve) => this.clock.after(20, resolve));
    }
    return this.output.split('\n', 1)[0] ?? '';
  }

  /** Sends SIGTERM and waits for the exit; sends SIGKILL after 8 s. */
  async stop(): Promise<void> {
    if (this.child.exitCode !== null || this.child.signalCode !== null) return;
    this.child.kill('SIGTERM');
    const cancel = this.clock.after(STOP_TIMEOUT_MS, this.kill);
    await this.exited;
    cancel();
  }
}
