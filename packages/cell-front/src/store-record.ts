import type { Clock } from '@acaciahoist/clock';

type Outcome = 'appended' | 'refused' | 'unknown';

interface Options {
  clock: Clock;
  /** The ways to append the record, the preferred one first. */
  ways: readonly (() => Promise<Outcome>)[];
  /** Time in ms after which a way that has not answered is joined by the next one. */
  hedgeMs: number;
}

/**
 * Appends a record in one of several ways. Load pattern: the store, or the process that appends for
 * others, goes silent for some and serves the rest; clients must not wait for an answer that never
 * comes. Only for records that have no effect when they are in the log twice. `refused` only when no
 * way may have appended it.
 */
export async function storeRecord(options: Options): Promise<Outcome> {
  const { clock, ways, hedgeMs } = options;
  const [first, ...others] = ways;
  if (first === undefined) return 'refused';
  const answer = first();
  if (others.length === 0) return answer;
  let cancel: () => void = () => undefined;
  const late = new Promise<undefined>((resolve) => {
    cancel = clock.after(hedgeMs, () => {
      resolve(undefined);
    });
  });
  const early = await Promise.race([answer, late]);
  cancel();
  if (early === 'appended') return early;
  const other = storeRecord({ clock, ways: others, hedgeMs });
  if (early !== undefined) return combine(early, await other);
  return firstAppended([answer, other]);
}

/** Resolves as soon as one way has appended the record, otherwise when all have ended. */
async function firstAppended(ways: readonly Promise<Outcome>[]): Promise<Outcome> {
  const appended = ways.map((way) =>
    way.then((outcome) => {
      if (outcome !== 'appended') throw new Error(outcome);
      return outcome;
    }),
  );
  return Promise.any(appended).catch(async () => (await Promise.all(ways)).reduce(combine));
}

function combine(left: Outcome, right: Outcome): Outcome {
  if (left === 'appended' || right === 'appended') return 'appended';
  return left === 'refused' && right === 'refused' ? 'refused' : 'unknown';
}
