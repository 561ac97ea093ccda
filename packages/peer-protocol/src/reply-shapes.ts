import type { PeerCallType } from './peer-call-type.js';
import type { Shape } from '@acaciahoist/types/shape';
import { shapes } from '@acaciahoist/types/shapes';

const { string, number, boolean, bytes, any, nullable, optional, list, object } = shapes;

/** Limits on the standbys, processes, queues and records that a reply lists. */
const MAX_STANDBYS = 64;
const MAX_PROCESSES = 2_000;
const MAX_QUEUES = 10_000;
const MAX_RECORDS = 20_000;

/**
 * Shapes of the reply bodies of the calls between processes of the platform role. A call fails when its
 * reply has another shape, for example that of another version, before code that relies on the shape reads it.
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
