/** A process that has reported itself to the owner. */
interface Candidate {
  address: string;
  dataCentre: string;
  /** Processor capacity of its machine, in cores; 0 for a process that could not own the cell now. */
  cores: number;
}

interface Options {
  candidates: readonly Candidate[];
  /** Data centre of the owner, which holds a replica too. */
  ownDataCentre: string;
  /** Addresses of the current standbys, which are preferred to equal candidates. */
  current: ReadonlySet<string>;
  /** In a cell of at most this many processes, all of them hold a replica. */
  maxSmallCellSize: number;
  /** Number of replicas beside the owner's in a larger cell. */
  standbys: number;
}

/** Machines with less than this share of the cores of the largest machine are chosen last. */
const MIN_CORES_SHARE = 0.66;

/**
 * Chooses the standbys, which hold a replica beside the owner: large machines first, spread over data
 * centres, and current standbys before equal candidates. In a cell of a hundred processes not all can hold a
 * replica: if each of them applied every record, sending the records would fill the owner's network link and
 * cost more processor time than all other work.
 */
export function chooseStandbys(options: Options): Candidate[] {
  const { candidates, ownDataCentre, current, maxSmallCellSize, standbys } = options;
  if (candidates.length + 1 <= maxSmallCellSize) return [...candidates];
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
