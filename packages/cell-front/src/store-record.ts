import type { Clock } from '@acaciahoist/clock';

type Outcome = 'appended' | 'refused' | 'unknown';

interface Options {
  clock: Clock;
  /** True when the store is known not to answer this process. */
  isStoreAway: boolean;
  append: () => Promise<Outcome>;
  /** Appends through another process. */
  relay: () => Promise<Outcome>;
}

/** An append takes 5 ms, and some 250 ms when the store is slow; after that the relay is asked as well. */
const HEDGE_MS = 300;

/**
 * Appends a record directly or through another process. Load pattern: the store goes silent for some
 * processes and serves the others; their clients must not wait for an answer that never comes. Only for
 * records that have no effect when they are in the log twice. `refused` only when no way may have
 * stored it.
 */
export async function storeRecord(options: Options): Promise<Outcome> {
  const { clock, isStoreAway, append, relay } = options;
  if (isStoreAway) return relay();
  const direct = append();
  const late = new Promise<undefined>((resolve) =>
    clock.after(HEDGE_MS, () => {
      resolve(undefined);
    }),
  );
  const first = await Promise.race([direct, late]);
  if (first === 'appended') return first;
  if (first !== undefined) return combine(first, await relay());
  return firstAppended([direct, relay()]);
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
