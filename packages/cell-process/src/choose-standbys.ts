/** A process that was heard of. */
interface Candidate {
  address: string;
  dataCentre: string;
  /** Processor time of its machine, in cores; 0 for a process that could not own the cell now. */
  cores: number;
}

interface Options {
  candidates: readonly Candidate[];
  /** Data centre of the owner, which holds a replica too. */
  ownDataCentre: string;
  /** Addresses of the standbys so far. */
  current: ReadonlySet<string>;
  /** Cells of at most this many processes have a replica in each of them. */
  smallCell: number;
  /** Replicas beside the owner's in a larger cell. */
  standbys: number;
}

/** A machine with less than this share of the largest one's processor time is a last resort. */
const MIN_CORES_SHARE = 0.66;

/**
 * Load pattern: a cell of a hundred processes. If each of them applied every record, the copies would
 * fill the owner's link and cost more processor time than all other work. Chooses the processes that
 * hold a replica beside the owner: large machines first, spread over data centres, and those that hold
 * one already before others that are as good.
 */
export function chooseStandbys(options: Options): Candidate[] {
  const { candidates, ownDataCentre, current, smallCell, standbys } = options;
  if (candidates.length + 1 <= smallCell) return [...candidates];
  const largest = Math.max(0, ...candidates.map(({ cores }) => cores));
  const isSmall = ({ cores }: Candidate): boolean => cores < largest * MIN_CORES_SHARE;
  const perDataCentre = new Map([[ownDataCentre, 1]]);
  const countIn = ({ dataCentre }: Candidate): number => perDataCentre.get(dataCentre) ?? 0;
  const remaining = candidates.filter(({ cores }) => cores > 0);
  const chosen: Candidate[] = [];
  while (chosen.length < standbys && remaining.length > 0) {
    remaining.sort(
      (first, second) =>
        Number(isSmall(first)) - Number(isSmall(second)) ||
        countIn(first) - countIn(second) ||
        Number(current.has(second.address)) - Number(current.has(first.address)) ||
        second.cores - first.cores ||
        (first.address < second.address ? -1 : 1),
    );
    const next = remaining.shift();
    if (next === undefined) break;
    chosen.push(next);
    perDataCentre.set(next.dataCentre, countIn(next) + 1);
  }
  return chosen;
}
