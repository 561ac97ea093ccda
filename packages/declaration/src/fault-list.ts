import type { Fault } from './fault.js';
import type { LineIndex } from './line-index.js';

/** A text with more faults than this is most likely not a text of the expected kind. */
const MAX_LISTED_FAULTS = 100;

/** Collects the faults of one text or value, up to a limit. */
export class FaultList {
  /** `lines` is undefined for a value without text and for a text that is too long. */
  static create(file: string, lines: LineIndex | undefined): FaultList {
    return new FaultList(file, lines);
  }

  private readonly listedFaults: { offset: number; fault: Fault }[] = [];
  private unlistedCount = 0;

  private constructor(
    private readonly file: string,
    private readonly lines: LineIndex | undefined,
  ) {}

  /** True when further faults are only counted, so that callers can skip costly suggestions. */
  isFull(): boolean {
    return this.listedFaults.length >= MAX_LISTED_FAULTS;
  }

  isEmpty(): boolean {
    return this.listedFaults.length === 0;
  }

  /** Adds a fault at an offset of the text. Above the limit of listed faults it is only counted. */
  add(offset: number, path: string, problem: string, correction: string): void {
    if (this.isFull()) {
      this.unlistedCount += 1;
      return;
    }
    const { line, column } = this.lines?.locate(offset) ?? { line: 0, column: 0 };
    const fault = { file: this.file, line, column, path, problem, correction };
    this.listedFaults.push({ offset, fault });
  }

  /** Returns the faults in order of their offset. If some are not listed, a last one gives their number. */
  list(): readonly Fault[] {
    const sorted = [...this.listedFaults]
      .sort((a, b) => a.offset - b.offset)
      .map(({ fault }) => fault);
    const last = sorted.at(-1);
    if (last === undefined || this.unlistedCount === 0) return sorted;
    const problem = `${this.unlistedCount} further faults are not listed`;
    return [...sorted, { ...last, path: '', problem, correction: 'correct the listed ones first' }];
  }
}
