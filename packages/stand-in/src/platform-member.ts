import type { Vm } from '@acaciahoist/types/vm';
import type { Endpoint } from './endpoint.js';
import type { LogService } from './log-service.js';
import type { Runner } from './runner.js';
import type { VmList } from './vm-list.js';
import type { Worker } from './worker.js';

/** The fields of a member's VM that stay the same while it runs. */
type ListedVm = Omit<Vm, 'address' | 'state'>;

/**
 * One member of the simulated platform: the log, the VM list, a worker or a runner, with its
 * endpoint.
 */
export type PlatformMember =
  | { kind: 'log'; endpoint: Endpoint; log: LogService }
  | { kind: 'vm-list'; endpoint: Endpoint; vmList: VmList }
  | { kind: 'worker'; endpoint: Endpoint; worker: Worker; vm: ListedVm }
  | { kind: 'runner'; endpoint: Endpoint; runner: Runner; vm: ListedVm };
