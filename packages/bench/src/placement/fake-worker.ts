import type { Resources } from '@acaciahoist/types/resources';
import type { FakeTask } from './fake-task.js';

/** A fake worker. The scheduler learns of a change of `isRunning` only later. */
export interface FakeWorker {
  address: string;
  capacity: Resources;
  isRunning: boolean;
  /** Fails every task shortly after its start. */
  isFaulty: boolean;
  tasks: Map<string, FakeTask>;
  reportSequence: number;
}
