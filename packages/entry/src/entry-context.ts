import type { Clock } from '@acaciahoist/clock';
import type { Membership } from '@acaciahoist/membership';
import type { RetryBudget } from '@acaciahoist/request-router/retry-budget';
import type { RunnerHealth } from '@acaciahoist/request-router/runner-health';
import type { EntrySettings } from '@acaciahoist/types/entry-settings';
import type { LogStream } from '@acaciahoist/types/log-stream';
import type { ProcessIdentity } from '@acaciahoist/types/process-identity';
import type { RunnerClient } from '@acaciahoist/types/runner-client';
import type { WorkerClient } from '@acaciahoist/types/worker-client';
import type { EventLog } from '@acaciahoist/types/event-log';
import type { Metrics } from './metrics.js';

/** Settings, clients and state that the parts of one entry process share. */
export interface EntryContext {
  settings: EntrySettings;
  clock: Clock;
  identity: ProcessIdentity;
  log: EventLog;
  metrics: Metrics;
  membership: Membership;
  retryBudget: RetryBudget;
  runnerHealth: RunnerHealth;
  sendToRunner: RunnerClient;
  workers: WorkerClient;
  openLogStream: (name: string) => LogStream;
  /** Returns an id that is unique among all processes. */
  createId: () => string;
}
