import type { Result } from 'true-myth/result';
import { Failure } from '@acaciahoist/errors';
import type { Outcome } from '@acaciahoist/types/outcome';
import { checkSource } from '@acaciahoist/declaration/check-source';
import { formatFault } from '@acaciahoist/declaration/format-fault';
import type { CellReport } from './cell-report.js';
import { reportSchema } from './report-schema.js';
import type { TotalsRow } from './totals-row.js';

/** Permits a report of 10,000 teams and as many corrections. */
const LIMIT = { characters: 33_554_432, tokens: 3_000_000, nesting: 8 };

interface RowJson {
  user: string;
  team: string;
  counts: Record<Outcome, number>;
  waitMs: number;
  millicoreMs: string;
  memoryMibMs: string;
}

interface ReportJson {
  version: 1;
  period: string;
  users?: string[];
  partitions: { partition: string; previousDigest?: string; digest?: string }[];
  rows: RowJson[];
  corrections: {
    id: string;
    corrects: string;
    operator: string;
    reason: string;
    change: RowJson;
  }[];
}

/** Converts the decoded JSON form to a report. Fails with `bad-request` and lists every fault. */
export function parseReport(value: unknown): Result<CellReport, Failure> {
  const checked = checkSource({ value }, 'report', LIMIT, () => reportSchema, skipRelationCheck);
  return checked
    .mapErr((faults) => Failure.create('bad-request', faults.map(formatFault).join('\n')))
    .map((report) => convertReport(report as ReportJson));
}

/**
 * Checks no relation between fields: `verifyReport` compares rows and digests with those of the cell
 * instead.
 */
function skipRelationCheck(): void {
  return;
}

function convertReport({ users, partitions, rows, corrections, ...rest }: ReportJson): CellReport {
  return {
    ...rest,
    users: users ?? null,
    partitions: partitions.map(({ partition, previousDigest, digest }) => ({
      partition,
      previousDigest: previousDigest ?? null,
      digest: digest ?? null,
    })),
    rows: rows.map(convertRow),
    corrections: corrections.map((correction) => ({
      ...correction,
      change: convertRow(correction.change),
    })),
  };
}

function convertRow(row: RowJson): TotalsRow {
  return {
    ...row,
    millicoreMs: BigInt(row.millicoreMs),
    memoryMibMs: BigInt(row.memoryMibMs),
  };
}
