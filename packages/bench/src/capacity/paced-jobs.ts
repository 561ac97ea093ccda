import { Pool } from 'undici';
import type { ProcessCell } from '../cell/process-cell.js';

/** Submits jobs of one task each to the only entry process of a cell, at a given rate. */
export class PacedJobs {
  static create(cell: ProcessCell): PacedJobs {
    return new PacedJobs(
      cell,
      new Pool(`http://${cell.entryProcesses[0]?.listen ?? ''}`, { connections: 8 }),
    );
  }

  /** Number of jobs that were not accepted. */
  refused = 0;

  private constructor(
    private readonly cell: ProcessCell,
    private readonly pool: Pool,
  ) {}

  async submit(runMs: number): Promise<void> {
    const spec = {
      family: `f${runMs}`,
      user: 'u',
      team: 't',
      kind: 'batch',
      groups: [{ name: 'g', count: 1, resources: { millicores: 100, memoryMib: 64 } }],
      runMs,
      urgent: false,
      repeatable: true,
    };
    const { statusCode, body } = await this.pool.request({
      method: 'POST',
      path: '/jobs',
      headers: this.cell.headers,
      body: JSON.stringify(spec),
    });
    await body.dump();
    if (statusCode !== 201) this.refused += 1;
  }

  /** Submits jobs at an even rate for `durationMs` and waits for the responses. */
  async submitAtRate(perSecond: number, durationMs: number, runMs: number): Promise<void> {
    const { clock } = this.cell;
    const startMs = clock.monotonicMs();
    const sent: Promise<void>[] = [];
    for (;;) {
      const elapsedMs = clock.monotonicMs() - startMs;
      if (elapsedMs >= durationMs) break;
      while (sent.length < (elapsedMs / 1_000) * perSecond) sent.push(this.submit(runMs));
      await this.cell.pause(10);
    }
    await Promise.all(sent);
  }

  close(): Promise<void> {
    return this.pool.close();
  }
}
