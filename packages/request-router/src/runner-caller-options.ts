import type { Clock } from '@acaciahoist/clock';
import type { RunnerClient } from '@acaciahoist/types/runner-client';
import type { RunnerHealth } from './runner-health.js';
import type { SlotAccess } from './slot-access.js';

/** Options of a `RunnerCaller`. */
export interface RunnerCallerOptions extends SlotAccess {
  clock: Clock;
  send: RunnerClient;
  /** Shared by all routers of a process. */
  health: RunnerHealth;
  /** Name of this process with its incarnation, under which it holds its grants. */
  holder: string;
  /** Returns a new unique id. */
  createId: () => string;
}
