import type { Shape } from '@acaciahoist/types/shape';
import { shapes } from '@acaciahoist/types/shapes';

/** Shape of a claim of the cell in messages between processes and in the owner hint. */
export const claimShape: Shape = shapes.object({
  owner: shapes.string,
  address: shapes.string,
  token: shapes.integerFrom(0),
});
