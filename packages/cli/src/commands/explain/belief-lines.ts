import type { LogLine } from '../../log-lines/log-line.js';
import { beliefEvents } from './belief-events.js';

/** Time in ms before and after the decision within which a line counts as near it. */
const NEAR_BEFORE_MS = 10_000;
const NEAR_AFTER_MS = 1_000;
/** Lines of one event of one process that are shown of those before the decision, and of those after it. */
const SHOWN_PER_EVENT = 2;
/** Events of one owner after the other, from which the owner at a moment follows. */
const OWNER_EVENTS = ['owner-started', 'owner-stopped'];

interface Options {
  /** Time of the decision. */
  momentMs: number;
  toMs: (line: LogLine) => number;
  isRelated: (line: LogLine) => boolean;
}

interface EventLines {
  before: LogLine[];
  after: LogLine[];
  /** Lines near the decision that are not shown. */
  leftOut: number;
}

/**
 * Collects what the processes learned up to a decision and shortly after it. Keeps a few lines for each event
 * of each process, so that its memory does not grow with the logs, which may come in any order.
 */
export class BeliefLines {
  /** `isRelated` tells whether a line about a single worker, queue or job is about one that matters. */
  static create(options: Options): BeliefLines {
    return new BeliefLines(options);
  }

  private readonly linesByProcess = new Map<string, Map<string, EventLines>>();
  private newestOwnerEvents = new Map<string, LogLine>();

  private constructor(private readonly options: Options) {}

  add(line: LogLine): void {
    const isLasting = beliefEvents.lasting.some((event) => event === line.event);
    if (!isLasting && !beliefEvents.momentary.some((event) => event === line.event)) return;
    if (!this.options.isRelated(line)) return;
    const distanceMs = this.distanceMs(line);
    const isNear = distanceMs >= -NEAR_BEFORE_MS && distanceMs <= NEAR_AFTER_MS;
    if (!isNear && !(isLasting && distanceMs <= 0)) return;
    if (OWNER_EVENTS.includes(line.event) && distanceMs <= 0) this.addOwnerEvent(line);
    const lines = this.listLinesOf(line);
    const side = distanceMs <= 0 ? lines.before : lines.after;
    side.push(line);
    // The lines that are nearest to the decision stay.
    side.sort((a, b) => Math.abs(this.distanceMs(a)) - Math.abs(this.distanceMs(b)));
    const dropped = side.length > SHOWN_PER_EVENT ? side.pop() : undefined;
    if (dropped !== undefined && this.distanceMs(dropped) >= -NEAR_BEFORE_MS) lines.leftOut += 1;
  }

  /** The line with which the owner at the moment of the decision started. Absent if none is in the logs. */
  findOwnerStart(): LogLine | undefined {
    const starts = [...this.newestOwnerEvents.values()].filter(
      (line) => line.event === 'owner-started',
    );
    return starts.sort((a, b) => this.distanceMs(b) - this.distanceMs(a))[0];
  }

  /** Lines of these processes in order of time, and the number of lines near the decision that are left out. */
  select(processes: ReadonlySet<string>): { lines: LogLine[]; leftOut: number } {
    const groups = [...processes].flatMap((process) => [
      ...(this.linesByProcess.get(process)?.values() ?? []),
    ]);
    const lines = groups.flatMap(({ before, after }) => {
      const near = before.filter((line) => this.distanceMs(line) >= -NEAR_BEFORE_MS);
      // Of the lines of long ago only the newest one still holds.
      return [...(near.length > 0 ? near : before.slice(0, 1)), ...after];
    });
    lines.sort((a, b) => this.distanceMs(a) - this.distanceMs(b));
    return { lines, leftOut: groups.reduce((sum, group) => sum + group.leftOut, 0) };
  }

  private distanceMs(line: LogLine): number {
    return this.options.toMs(line) - this.options.momentMs;
  }

  private addOwnerEvent(line: LogLine): void {
    const newest = this.newestOwnerEvents.get(line.process);
    if (newest === undefined || this.distanceMs(newest) <= this.distanceMs(line))
      this.newestOwnerEvents.set(line.process, line);
  }

  private listLinesOf(line: LogLine): EventLines {
    const events = this.linesByProcess.get(line.process) ?? new Map<string, EventLines>();
    this.linesByProcess.set(line.process, events);
    const lines = events.get(line.event) ?? { before: [], after: [], leftOut: 0 };
    events.set(line.event, lines);
    return lines;
  }
}
