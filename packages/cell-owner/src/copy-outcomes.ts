/** Outcomes of the newest copies of an image. */
interface Outcomes {
  /** True for a copy that was done first, oldest first. */
  readonly wins: boolean[];
  /** Monotonic time until which the image gets no copies. */
  pausedUntilMs: number;
}

/** Number of copies of an image by which it is judged, and of those among them that must have been done first. */
const JUDGED_COPIES = 12;
const MIN_WINS = 3;
/** Time in ms for which an image whose copies are of no use gets none. */
const PAUSE_MS = 60_000;
/** Maximum number of images; the one without an outcome for the longest time is forgotten beyond it. */
const MAX_GROUPS = 64;

/** Learns from the ends of copies which images have slow runs that a second run does not repeat. */
export class CopyOutcomes {
  static create(): CopyOutcomes {
    return new CopyOutcomes();
  }

  private readonly groups = new Map<string, Outcomes>();

  /** Records the end of a copy. Returns true when its image gets no copies for some time. */
  record(group: string, isWin: boolean, nowMs: number): boolean {
    const outcomes = this.groups.get(group) ?? { wins: [], pausedUntilMs: 0 };
    this.groups.delete(group);
    this.groups.set(group, outcomes);
    const oldest = this.groups.keys().next().value;
    if (this.groups.size > MAX_GROUPS && oldest !== undefined) this.groups.delete(oldest);
    outcomes.wins.push(isWin);
    if (outcomes.wins.length > JUDGED_COPIES) outcomes.wins.shift();
    const winCount = outcomes.wins.filter(Boolean).length;
    if (outcomes.wins.length < JUDGED_COPIES || winCount >= MIN_WINS) return false;
    // After the pause each further copy is judged together with the last ones, so that a useless one pauses again.
    outcomes.pausedUntilMs = nowMs + PAUSE_MS;
    return true;
  }

  mayCopy(group: string, nowMs: number): boolean {
    return nowMs >= (this.groups.get(group)?.pausedUntilMs ?? 0);
  }
}
