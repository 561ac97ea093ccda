import type { Resources } from './resources.js';

/** One VM of the platform's list. The list is delayed, so that an entry is a hint and proves nothing. */
export interface Vm {
  /** `ip:port` */
  address: string;
  dataCentre: string;
  rack: string;
  role: 'entry' | 'runner' | 'worker';
  /** `leaving`: the platform will remove the VM, which must get no new work. */
  state: 'live' | 'leaving';
  /** Names of the services that a runner serves. */
  services: readonly string[];
  /** Capacity of a worker; absent for other roles. */
  resources?: Resources;
}
