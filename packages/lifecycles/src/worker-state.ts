/** States of a worker; see `workerMachine`. */
export type WorkerState = 'active' | 'suspended' | 'ejected' | 'probing' | 'leaving' | 'removed';
