import type { Clock } from '@acaciahoist/clock';

type Outcome = 'appended' | 'refused' | 'unknown';

interface Options {
  clock: Clock;
  /** Routes by which the record can be appended, the preferred one first. */
  routes: readonly Route[];
  /** Monotonic time after which no further route is tried, as the client would not wait for its outcome. */
  lastRouteAtMs: number;
}

interface Route {
  append: () => Promise<Outcome>;
  /**
   * Time in ms after which the next route is tried in addition to this one if it has not answered; asked again when it
   * has passed, as it may have become longer.
   */
  hedgeDelayMs: () => number;
}

/**
 * Appends a record by one of several routes. The store, or the process that appends for others, may
 * stop answering some processes while it serves the rest; clients must not wait for a response that
 * never comes. Several routes may append the record, so it must have no further effect when it is
 * in the log twice. Returns `refused` only if no route can have appended the record.
 */
export async function storeRecord(options: Options): Promise<Outcome> {
  const { clock, routes, lastRouteAtMs } = options;
  const [firstRoute, ...laterRoutes] = routes;
  if (firstRoute === undefined) return 'refused';
  const firstAppend = firstRoute.append();
  if (laterRoutes.length === 0) return firstAppend;
  const outcome = await awaitUnlessDue(clock, firstAppend, firstRoute.hedgeDelayMs);
  if (outcome === 'appended') return outcome;
  if (clock.monotonicMs() > lastRouteAtMs) return outcome ?? firstAppend;
  const laterAppend = storeRecord({ clock, routes: laterRoutes, lastRouteAtMs });
  if (outcome !== undefined) return combine(outcome, await laterAppend);
  return awaitFirstAppended([firstAppend, laterAppend]);
}

/** Returns the outcome, or undefined when it has not arrived after the delay. */
async function awaitUnlessDue(
  clock: Clock,
  outcome: Promise<Outcome>,
  delayMs: () => number,
): Promise<Outcome | undefined> {
  const startMs = clock.monotonicMs();
  for (;;) {
    const leftMs = startMs + delayMs() - clock.monotonicMs();
    if (leftMs <= 0) return undefined;
    let cancel: () => void = () => undefined;
    const isDue = new Promise<undefined>((resolve) => {
      cancel = clock.after(leftMs, () => {
        resolve(undefined);
      });
    });
    const settled = await Promise.race([outcome, isDue]);
    cancel();
    if (settled !== undefined) return settled;
  }
}

/** Resolves as soon as one route has appended the record, otherwise when all have ended. */
async function awaitFirstAppended(outcomes: readonly Promise<Outcome>[]): Promise<Outcome> {
  const appended = outcomes.map((outcome) =>
    outcome.then((settledOutcome) => {
      if (settledOutcome !== 'appended') throw new Error(settledOutcome);
      return settledOutcome;
    }),
  );
  return Promise.any(appended).catch(async () => (await Promise.all(outcomes)).reduce(combine));
}

/** Returns the outcome of a record that was sent by two routes. */
function combine(first: Outcome, second: Outcome): Outcome {
  if (first === 'appended' || second === 'appended') return 'appended';
  return first === 'refused' && second === 'refused' ? 'refused' : 'unknown';
}
