import type { PeerCallType } from './peer-call-type.js';
import type { Shape } from '@acaciahoist/types/shape';
import { shapes } from '@acaciahoist/types/shapes';
import { claimShape } from './claim-shape.js';
import { standbysShape } from './standbys-shape.js';

const {
  string,
  boolean,
  bytes,
  any,
  numberFrom,
  integerFrom,
  nullable,
  optional,
  list,
  tuple,
  object,
} = shapes;

/** Limits on the processes, queues and records that a reply lists. */
const MAX_PROCESSES = 2_000;
const MAX_QUEUES = 10_000;
const MAX_TEAMS = 1_000;
const MAX_RECORDS = 20_000;

/**
 * Shapes of the reply bodies of the calls between processes of the platform role. A call fails when its
 * reply has another shape, for example that of another version, before code that relies on the shape reads it.
 */
export const replyShapes: Readonly<Partial<Record<PeerCallType, Shape>>> = {
  'offer-help': object({
    life: string,
    storeSilentMs: numberFrom(0),
    largestCores: numberFrom(0),
    loopDelayMs: numberFrom(0),
    claim: nullable(claimShape),
    standbys: standbysShape,
    others: list(string, MAX_PROCESSES),
    isStandby: nullable(boolean),
    pending: nullable(list(tuple(string, integerFrom(0)), MAX_QUEUES)),
    pendingAgeMs: optional(nullable(numberFrom(0))),
    openJobBytes: optional(nullable(numberFrom(0))),
    appendTimeMs: optional(numberFrom(0)),
    configurationVersion: optional(integerFrom(0)),
    configurationSource: optional(string),
    teamLimits: optional(
      object({
        ageMs: nullable(numberFrom(0)),
        teams: list(tuple(string, numberFrom(0), numberFrom(0)), MAX_TEAMS),
      }),
    ),
  }),
  'owner-changed': object({}),
  advise: object({ advice: any }),
  'relay-record': object({ outcome: string }),
  'relay-outcome': object({ outcome: string, isAbsent: boolean }),
  'read-log': object({
    end: integerFrom(0),
    records: list(bytes, MAX_RECORDS),
    ageMs: optional(nullable(numberFrom(0))),
    heldMs: optional(numberFrom(0)),
  }),
  'read-cell-configuration': object({
    version: integerFrom(0),
    size: integerFrom(0),
    data: bytes,
  }),
};
