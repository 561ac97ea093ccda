/** Kinds of tasks by their part in the interference on a worker. */
export const TaskKind = {
  /** Has a target for its tail latency. */
  serving: 'serving',
  /** Uses only processor time that others leave, and can be paced. */
  bestEffort: 'best-effort',
  other: 'other',
} as const;

export type TaskKind = (typeof TaskKind)[keyof typeof TaskKind];
