import type { TotalsRow } from './totals-row.js';

/** A later change to a closed period. It is recorded in the period that is open when it is made. */
export interface Correction {
  /** Unique in the cell; a second correction with the same id is ignored. */
  readonly id: string;
  /** Name of the closed period that is corrected. */
  readonly corrects: string;
  readonly operator: string;
  readonly reason: string;
  /** Amounts to add to the totals of the corrected period; may be negative. */
  readonly change: TotalsRow;
}
