import type { Schema } from './schema.js';

const HOUR_MS = 3_600_000;
const DAY_MS = 24 * HOUR_MS;

function createIntegerField(value: number, min: number, max: number, about: string): Schema {
  return { type: 'integer', min, max, default: value, about };
}

/** Durations and limits of an entry process. Section 2 of docs/design.md gives their reasons. */
export const entryLimitFields = {
  leaseMs: createIntegerField(
    2500,
    500,
    60_000,
    'Duration of the lease of a partition owner, counted from the time at which an append is sent.',
  ),
  renewMs: createIntegerField(
    800,
    50,
    30_000,
    'Time without an append after which an owner renews its lease; at most half of `leaseMs`.',
  ),
  holdMs: createIntegerField(
    HOUR_MS,
    0,
    DAY_MS,
    'Time after the last acknowledged record for which an owner without a lease keeps serving requests.',
  ),
  heldSlotsPercent: createIntegerField(
    50,
    0,
    100,
    'Share of the slots of a runner that an owner without a lease may use.',
  ),
  refusalProvesExit: {
    type: 'flag',
    default: true,
    about:
      'A refused connection to the address of a former owner proves that its process has exited.',
  },
  armBeforeMs: createIntegerField(
    HOUR_MS,
    1000,
    DAY_MS,
    'Time before `startAtMs` at which the workers of a scheduled job are selected and recorded.',
  ),
  taskLeaseMs: createIntegerField(
    10_000,
    1000,
    600_000,
    'Duration of the lease of a task at its worker.',
  ),
  retentionMs: createIntegerField(
    6 * HOUR_MS,
    60_000,
    365 * DAY_MS,
    'Time for which the platform keeps log records. Snapshots are written after a third of it.',
  ),
  snapshotEntries: createIntegerField(
    2000,
    10,
    1_000_000,
    'Journal entries after which a snapshot is written.',
  ),
  appendsPerSecond: createIntegerField(
    200,
    1,
    100_000,
    'Append budget of all entry processes together.',
  ),
  minCommitIntervalMs: createIntegerField(
    5,
    1,
    1000,
    'Shortest time between two appends for one partition.',
  ),
  heartbeatMs: createIntegerField(500, 50, 10_000, 'Time between heartbeats within a data centre.'),
  digestMs: createIntegerField(
    2000,
    100,
    60_000,
    'Time between digests to processes of other data centres.',
  ),
  probeMs: createIntegerField(500, 50, 60_000, 'Time between probes of a persistent connection.'),
  probeTimeoutMs: createIntegerField(
    500,
    50,
    60_000,
    'Time without a reply to a probe after which a connection is replaced.',
  ),
  drainDelayMs: createIntegerField(
    3000,
    0,
    60_000,
    'Time from reporting "not ready" to refusing new requests in a planned stop.',
  ),

  slotsPerRunner: createIntegerField(8, 1, 1024, 'Requests that a runner serves at once.'),
  promptQueueRequests: createIntegerField(2000, 1, 1_000_000, 'Longest queue of prompt requests.'),
  heavyQueueRequests: createIntegerField(2000, 1, 1_000_000, 'Longest queue of heavy requests.'),
  maxConnections: createIntegerField(4000, 1, 100_000, 'Connections of callers accepted at once.'),
  maxBodyBytes: createIntegerField(1_048_576, 1024, 67_108_864, 'Longest request body.'),
} as const satisfies Readonly<Record<string, Schema>>;
