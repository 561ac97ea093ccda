/** Offsets at which the lines of a text start, to convert an offset to a line and column. */
export class LineIndex {
  static create(text: string): LineIndex {
    const starts = [0];
    for (const match of text.matchAll(/\r\n|\n|\r/g)) starts.push(match.index + match[0].length);
    return new LineIndex(starts);
  }

  private constructor(private readonly lineStarts: readonly number[]) {}

  /** Returns the line and column of an offset, both counted from 1. */
  locate(offset: number): { line: number; column: number } {
    let low = 0;
    let high = this.lineStarts.length;
    while (high - low > 1) {
      const middle = (low + high) >>> 1;
      if ((this.lineStarts[middle] ?? 0) <= offset) low = middle;
      else high = middle;
    }
    return { line: low + 1, column: offset - (this.lineStarts[low] ?? 0) + 1 };
  }
}
