import type { TeamQuota } from '@acaciahoist/types/team-quota';
import type { Limits } from './limits.js';
import type { Policy } from './policy.js';

/** Settings of a `Placement`. */
export interface PlacementOptions {
  teams: readonly TeamQuota[];
  /** Default: the policy described in docs/policies.md. */
  policy?: Policy;
  limits?: Partial<Limits>;
  /** Seed of jitter and sampling; the same calls with the same seed give the same decisions. */
  seed?: number;
}
