import type { PeerCallType } from './peer-call-type.js';
import type { Shape } from './shape.js';
import { shapes } from './shapes.js';

const { string, number, boolean, bytes, any, nullable, optional, list, object } = shapes;

/** Most processes, queues and records that a reply lists. */
const MAX_STANDBYS = 64;
const MAX_PROCESSES = 2_000;
const MAX_QUEUES = 10_000;
const MAX_RECORDS = 20_000;

/**
 * Shape of the reply body of the calls of the platform role. A reply of another shape, such as one of
 * another version, must fail its call and not the code that reads it.
 */
export const replyShapes: Readonly<Partial<Record<PeerCallType, Shape>>> = {
  'offer-help': object({
    life: string,
    storeSilentMs: number,
    largestCores: number,
    loopDelayMs: number,
    claim: nullable(object({ owner: string, address: string, token: number })),
    standbys: list(list(string, 2), MAX_STANDBYS),
    others: list(string, MAX_PROCESSES),
    isStandby: nullable(boolean),
    pending: nullable(list(list(any, 2), MAX_QUEUES)),
    pendingAgeMs: optional(nullable(number)),
  }),
  'owner-changed': object({}),
  advise: object({ advice: any }),
  'relay-record': object({ outcome: string }),
  'relay-outcome': object({ outcome: string, isAbsent: boolean }),
  'read-log': object({
    end: number,
    records: list(bytes, MAX_RECORDS),
    ageMs: optional(nullable(number)),
    heldMs: optional(number),
  }),
};
