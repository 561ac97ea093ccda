import { spawn, type ChildProcess } from 'node:child_process';
import { createInterface } from 'node:readline';
import type { Clock } from '@acaciahoist/clock';
import type { ProcessExit } from './process-exit.js';

interface Options {
  clock: Clock;
  bundle: string;
  settingsFile: string;
  /** Peer address, which is also the name of the process. */
  address: string;
  incarnation: string;
  /** Module that Node.js loads before the program. */
  preload?: { module: string; environment: Readonly<Record<string, string>> };
  onExit: (exit: ProcessExit) => void;
  /** Called with each line of output. */
  onLine: (line: string) => void;
}

const MAX_KEPT_LINES = 400;

/** One entry process that runs as a child process. */
export class EntryProcess {
  static create(options: Options): EntryProcess {
    return new EntryProcess(options);
  }

  /** The latest lines of output, which are reported when a run fails. */
  readonly lines: string[] = [];
  readonly exited: Promise<void>;
  private readonly child: ChildProcess;
  private isRunning = true;

  private constructor(private readonly options: Options) {
    const { bundle, settingsFile, preload } = options;
    const nodeArgs = preload === undefined ? [] : ['--import', preload.module];
    this.child = spawn(process.execPath, [...nodeArgs, bundle, 'entry', settingsFile], {
      stdio: ['ignore', 'pipe', 'pipe', ...(preload === undefined ? [] : (['ipc'] as const))],
      env: { ...process.env, ...preload?.environment },
    });
    for (const stream of [this.child.stdout, this.child.stderr]) {
      if (stream === null) continue;
      createInterface({ input: stream }).on('line', (line) => {
        this.lines.push(line);
        options.onLine(line);
        if (this.lines.length > MAX_KEPT_LINES) this.lines.shift();
      });
    }
    // A run that ends with an error must not leave its processes running.
    const kill = (): void => {
      this.child.kill('SIGKILL');
    };
    process.once('exit', kill);
    this.exited = new Promise((resolve) => {
      const end = (exit: ProcessExit): void => {
        if (!this.isRunning) return;
        this.isRunning = false;
        process.off('exit', kill);
        options.onExit(exit);
        resolve();
      };
      this.child.once('exit', (code, signal) => {
        end({ code, signal });
      });
      this.child.once('error', () => {
        end({ code: null, signal: null });
      });
    });
  }

  get address(): string {
    return this.options.address;
  }

  get incarnation(): string {
    return this.options.incarnation;
  }

  get running(): boolean {
    return this.isRunning;
  }

  /** Sends a signal to this process only. */
  signal(name: 'SIGKILL' | 'SIGTERM' | 'SIGSTOP' | 'SIGCONT'): void {
    if (this.isRunning) this.child.kill(name);
  }

  /** Waits for the exit; resolves with false when the process still runs after `withinMs`. */
  async waitForExit(withinMs: number): Promise<boolean> {
    let cancel = (): void => undefined;
    const timeout = new Promise<boolean>((resolve) => {
      cancel = this.options.clock.after(withinMs, () => {
        resolve(false);
      });
    });
    const hasExited = await Promise.race([this.exited.then(() => true), timeout]);
    cancel();
    return hasExited;
  }

  /** Ends the process with SIGKILL, which also ends one paused by SIGSTOP, and waits for its exit. */
  async kill(): Promise<void> {
    this.signal('SIGKILL');
    await this.exited;
  }
}
