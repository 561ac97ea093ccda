import type { Shape } from '@acaciahoist/types/shape';
import { shapes } from '@acaciahoist/types/shapes';
import { jobShape } from './job-shape.js';

const { boolean, number, list, numberFrom, integerFrom, nullable, object, oneOf, optional, tuple } =
  shapes;

// The size of a snapshot is limited where it is read.
const text = shapes.text(Number.MAX_SAFE_INTEGER);
const listOf = (of: Shape): Shape => list(of, Number.MAX_SAFE_INTEGER);

const task = object({
  phase: oneOf('waiting', 'placed', 'done'),
  run: integerFrom(0),
  worker: text,
  born: optional(number),
  failures: integerFrom(0),
  failedWorkers: optional(listOf(text)),
  checkpoint: text,
  copyRun: optional(integerFrom(0)),
});

const step = object({
  tasks: listOf(task),
  done: integerFrom(0),
  placed: integerFrom(0),
  gangFailures: integerFrom(0),
  lastFailedRun: integerFrom(0),
  gangStart: optional(object({ run: integerFrom(0), checkpoint: text })),
});

const leftoverRun = object({
  run: integerFrom(0),
  worker: text,
  born: optional(number),
  team: optional(text),
  size: object({
    millicores: numberFrom(0),
    memoryMib: numberFrom(0),
    accelerators: numberFrom(0),
    usesSpareCpu: boolean,
  }),
});

/** Shape of a snapshot of this version or an earlier one. */
export const snapshotShape: Shape = object({
  nextOffset: integerFrom(0),
  logTimeMs: number,
  cellTimeMs: optional(numberFrom(0)),
  termStartMs: optional(numberFrom(0)),
  claim: nullable(object({ owner: text, address: text, token: integerFrom(0), released: boolean })),
  lives: optional(listOf(tuple(text, number))),
  leaseEnds: optional(listOf(tuple(text, numberFrom(0)))),
  stalls: optional(
    listOf(
      tuple(
        text,
        object({
          run: integerFrom(0),
          percent: numberFrom(0),
          ageMs: numberFrom(0),
          limitMs: numberFrom(0),
        }),
      ),
    ),
  ),
  copies: optional(
    object({
      running: listOf(tuple(text, leftoverRun)),
      failed: listOf(tuple(text, object({ run: integerFrom(0), worker: text }))),
      allowedFromMs: numberFrom(0),
    }),
  ),
  jobs: listOf(
    object({
      job: jobShape,
      offset: integerFrom(0),
      occurrences: listOf(listOf(step)),
      begun: boolean,
    }),
  ),
  ended: listOf(
    object({
      id: text,
      outcome: oneOf('completed', 'failed', 'cancelled'),
      endedMs: number,
      retainedFromMs: optional(nullable(numberFrom(0))),
      leftovers: listOf(tuple(text, leftoverRun)),
    }),
  ),
  cancelledIds: optional(listOf(tuple(text, nullable(numberFrom(0))))),
});
