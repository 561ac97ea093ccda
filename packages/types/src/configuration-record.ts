import type { Offset } from './offset.js';

/** One record of the stream `configuration`. */
export type ConfigurationRecord =
  | { type: 'publication'; baseRevision: number; text: string; operator: string; atMs: number }
  /** The revision in force after the record at `asOf`, appended again before its retention time ends. */
  | {
      type: 'checkpoint';
      revision: number;
      text: string;
      operator: string;
      atMs: number;
      asOf: Offset;
    };
