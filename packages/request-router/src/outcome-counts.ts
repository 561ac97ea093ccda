import type { Outcome } from '@acaciahoist/types/outcome';
import type { OutcomeRow } from './outcome-row.js';

/** Counts requests and sums their waiting time, by user, team, service and outcome. */
export class OutcomeCounts {
  static create(): OutcomeCounts {
    return new OutcomeCounts();
  }

  private rows = new Map<string, OutcomeRow>();

  private constructor() {
    // Private: instances come from create().
  }

  add(
    { user, team, service }: { user: string; team: string; service: string },
    outcome: Outcome,
    waitMs: number,
  ): void {
    const rowKey = JSON.stringify([user, team, service, outcome]);
    const row = this.rows.get(rowKey) ?? { user, team, service, outcome, count: 0, waitMs: 0 };
    const totals = { count: row.count + 1, waitMs: row.waitMs + Math.round(waitMs) };
    this.rows.set(rowKey, { ...row, ...totals });
  }

  /** Returns the counts since the previous call and resets them to zero. */
  take(): OutcomeRow[] {
    const rows = [...this.rows.values()];
    this.rows = new Map();
    return rows;
  }
}
