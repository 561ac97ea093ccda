import type { JobKind } from './job-kind.js';
import type { Resources } from './resources.js';

/** One service of the declaration. */
export interface ServiceDeclaration {
  name: string;
  user: string;
  team: string;
  kind: JobKind;
  dependsOn: readonly string[];
  /** Instances to keep running for kind `service`. */
  instances: number;
  /** Smallest number of racks over which the instances are spread; at most `instances`. */
  minRacks: number;
  /** Delay before a failed instance is started again; doubles, with jitter, up to `maxBackOffMs`. */
  backOffMs: number;
  maxBackOffMs: number;
  /** Demand of one instance. */
  resources: Resources;
  /** True when a request to this service may be sent twice. */
  repeatable: boolean;
  /** `prompt` and `heavy` requests are queued separately. */
  lane: 'prompt' | 'heavy';
  /** Time that a request may take when the caller gives no deadline. */
  deadlineMs: number;
}
