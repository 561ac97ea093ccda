import { shapes } from '@acaciahoist/types/shapes';

/** Shape that all frames have; the body depends on the call type. */
export const frameShape = shapes.object({
  id: shapes.number,
  kind: shapes.oneOf('call', 'reply', 'error'),
  from: shapes.object({
    process: shapes.string,
    incarnation: shapes.string,
    dataCentre: shapes.string,
  }),
  type: shapes.string,
  body: shapes.any,
  deadlineMs: shapes.number,
});
