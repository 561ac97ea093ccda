/** The first line of a printed report that differs from the expected text. */
export interface ReportDifference {
  /** Line number, from 1. */
  line: number;
  /** The expected line with its line feed; null when the expected text ends before it. */
  expected: string | null;
  /** The printed line with its line feed; null when the printed text ends before it. */
  found: string | null;
}
