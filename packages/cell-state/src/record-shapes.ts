import type { CellRecord } from '@acaciahoist/cell-types/cell-record';
import type { Shape } from '@acaciahoist/types/shape';
import { shapes } from '@acaciahoist/types/shapes';
import { jobShape } from './job-shape.js';

const { boolean, list, number, numberBetween, numberFrom, integerFrom, object, optional, tuple } =
  shapes;

/** The latest time in Unix ms that a clock shows. */
const MAX_WALL_MS = 8.64e15;
/** Maximum time in ms for which an owner may have owned the cell: ten years. */
const MAX_TERM_MS = 315_360_000_000;

// Records are at most 256 KiB long, so that their texts need no limit of their own.
const text = shapes.text(Number.MAX_SAFE_INTEGER);
const wallMs = numberBetween(0, MAX_WALL_MS);

/**
 * Shapes of the records of this version and earlier ones. Replicas reject a record of another shape by its bytes
 * alone, so that they stay equal.
 */
export const recordShapes: ReadonlyMap<unknown, Shape> = new Map<CellRecord['kind'], Shape>([
  [
    'claim',
    object({
      owner: text,
      address: text,
      token: integerFrom(0),
      wallMs,
      recordsLeaseEnds: optional(boolean),
      knowsCopies: optional(boolean),
    }),
  ],
  [
    'renew',
    object({
      wallMs,
      token: optional(integerFrom(0)),
      termMs: optional(numberBetween(0, MAX_TERM_MS)),
      asOfOffset: optional(integerFrom(0)),
      unreachable: optional(list(tuple(text, numberFrom(0)), Number.MAX_SAFE_INTEGER)),
      reached: optional(list(text, Number.MAX_SAFE_INTEGER)),
      copies: optional(list(tuple(text, integerFrom(0), text), Number.MAX_SAFE_INTEGER)),
      stalls: optional(
        list(
          tuple(text, integerFrom(0), numberFrom(0), numberFrom(0), numberFrom(0)),
          Number.MAX_SAFE_INTEGER,
        ),
      ),
    }),
  ],
  ['release', object({})],
  ['job', object({ job: jobShape })],
  ['cancel', object({ id: text })],
  ['start', object({ task: text, run: integerFrom(0), worker: text })],
  ['life', object({ worker: text, born: number })],
  ['begun', object({ job: text })],
  // Later versions may have further kinds of run ends.
  [
    'end',
    object({
      task: text,
      run: integerFrom(0),
      how: text,
      saved: text,
      copy: optional(integerFrom(0)),
    }),
  ],
]);
