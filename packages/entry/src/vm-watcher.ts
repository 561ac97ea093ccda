import type { Clock } from '@acaciahoist/clock';
import type { VmListClient } from '@acaciahoist/http-client/vm-list-client';
import type { Vm } from '@acaciahoist/types/vm';

interface Options {
  clock: Clock;
  readVmList: VmListClient;
  intervalMs: number;
  /** Called after each successful read, even when the list has not changed. */
  onRead: (vms: readonly Vm[]) => void;
}

/** Reads the platform's VM list at intervals. While reads fail, the list that was read last stays in use. */
export class VmWatcher {
  static create(options: Options): VmWatcher {
    return new VmWatcher(options);
  }

  private vms: readonly Vm[] = [];
  private cancelTimer: () => void = () => undefined;
  private isStopped = false;
  private failedReads = 0;

  private constructor(private readonly options: Options) {}

  /** Reads the list and schedules the next read. Resolves after the first read. */
  async start(): Promise<void> {
    await this.refresh();
    if (this.isStopped) return;
    this.cancelTimer = this.options.clock.after(this.options.intervalMs, () => {
      void this.start();
    });
  }

  stop(): void {
    this.isStopped = true;
    this.cancelTimer();
  }

  list(): readonly Vm[] {
    return this.vms;
  }

  describe(): { vms: number; failedReads: number } {
    return { vms: this.vms.length, failedReads: this.failedReads };
  }

  private async refresh(): Promise<void> {
    const result = await this.options.readVmList();
    if (result.isErr) {
      this.failedReads += 1;
      return;
    }
    this.vms = result.value;
    this.options.onRead(this.vms);
  }
}
