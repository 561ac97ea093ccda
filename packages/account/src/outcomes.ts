import { Outcome } from '@acaciahoist/types/outcome';

/**
 * The outcomes in the order of the report text. The order is part of the format that digests cover.
 */
export const outcomes: readonly Outcome[] = [
  Outcome.completed,
  Outcome.late,
  Outcome.refused,
  Outcome.cancelled,
  Outcome.failed,
  Outcome.unknown,
];
