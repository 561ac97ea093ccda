import type { Shape } from '@acaciahoist/types/shape';
import { shapes } from '@acaciahoist/types/shapes';

const MAX_STANDBYS = 64;

/** Shape of the addresses and data centres of the standbys in replies and in the owner hint. */
export const standbysShape: Shape = shapes.list(
  shapes.tuple(shapes.string, shapes.string),
  MAX_STANDBYS,
);
