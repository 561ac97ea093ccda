import type { Offset } from '@acaciahoist/types/offset';

/** The configuration in force and the most recent conflicting publications. */
export interface CurrentConfiguration {
  /** 0 before the first publication. */
  revision: number;
  text: string;
  operator: string;
  /** Time of the publication, wall-clock ms. */
  atMs: number;
  /**
   * The most recent publications rejected as conflicts. Checkpoints do not contain them, so a reader
   * that resumed from a checkpoint lacks those before it.
   */
  conflicts: readonly {
    offset: Offset;
    baseRevision: number;
    /** Revision in force at the offset of the rejected publication. */
    revision: number;
    operator: string;
    atMs: number;
  }[];
}
