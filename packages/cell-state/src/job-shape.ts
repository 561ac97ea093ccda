import type { Shape } from '@acaciahoist/types/shape';
import { shapes } from '@acaciahoist/types/shapes';

const { boolean, list, numberFrom, integerFrom, object, optional } = shapes;

// Records are at most 256 KiB long, so that their lists and texts need no limit of their own.
const text = shapes.text(Number.MAX_SAFE_INTEGER);
const MAX_ITEMS = Number.MAX_SAFE_INTEGER;

/**
 * Shape of a job in a record or a snapshot. The terms of its queue are those of a configuration that was in
 * force, whatever their values are: a job that was accepted under them must not be rejected by a replica.
 */
export const jobShape: Shape = object({
  id: text,
  queue: object({ name: text, service: text, advice: optional(object({})) }),
  payload: text,
  steps: list(
    object({
      count: integerFrom(1),
      millicores: numberFrom(0),
      memoryMib: numberFrom(0),
      accelerators: numberFrom(0),
      estimateMs: numberFrom(0),
      after: list(integerFrom(0), MAX_ITEMS),
      gang: boolean,
      sameRack: boolean,
      label: text,
      dataRack: text,
      maxPerWorker: numberFrom(0),
      checkpointing: boolean,
      speculative: boolean,
      longRunning: boolean,
      usesSpareCpu: boolean,
      image: text,
      tailTargetMs: numberFrom(0),
      maxUnavailable: numberFrom(0),
    }),
    MAX_ITEMS,
  ),
  occurrences: integerFrom(1),
  firstRunMs: numberFrom(0),
  intervalMs: numberFrom(0),
  receivedMs: shapes.number,
  team: optional(text),
});
