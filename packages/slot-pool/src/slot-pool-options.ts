import type { Clock } from '@acaciahoist/clock';
import type { Authority } from './authority.js';

/** Settings of a pool. */
export interface SlotPoolOptions {
  clock: Clock;
  /** Token of the owner, part of each grant. A pool is used for one token only. */
  token: number;
  slotsPerRunner: number;
  /** Share of each runner's slots that may be granted while holding. */
  heldSlotsPercent: number;
  /** Longest deadline of the declared services; no grant lasts longer. */
  maxDeadlineMs: number;
  /** Called before each grant, because `setAuthority` is called late in a process that was paused. */
  readAuthority?: () => Authority;
  /** True for services with prompt work. Only runners of such services have reserved slots. */
  isPrompt?: (service: string) => boolean;
  /** Largest number of waiting requests of each lane. Default 1,000. */
  maxWaiting?: { prompt: number; heavy: number };
  /** Time after the deadline of a grant until its slot is granted again. Default 250 ms. */
  marginMs?: number;
}
