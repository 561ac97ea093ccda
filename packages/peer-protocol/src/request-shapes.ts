import type { PeerCallType } from './peer-call-type.js';
import type { Shape } from '@acaciahoist/types/shape';
import { shapes } from '@acaciahoist/types/shapes';
import { claimShape } from './claim-shape.js';

const {
  string,
  number,
  boolean,
  bytes,
  any,
  numberFrom,
  integerFrom,
  nullable,
  optional,
  list,
  tuple,
  oneOf,
  object,
} = shapes;

/** Limits on the lists in a request body. */
const MAX_OWNED_PARTITIONS = 256;
const MAX_DIGEST_VIEWS = 1_024;
const MAX_COUNT_ROWS = 4_096;
const MAX_EXCLUDED_RUNNERS = 256;
const MAX_ADVICE_WORKERS = 256;
const MAX_TEAMS = 1_000;

const partitionView = object({
  partition: string,
  token: number,
  holder: string,
  incarnation: string,
  backlog: number,
});

/** Shape of the request body of each call type. The package `declaration` checks job specs. */
export const requestShapes: Readonly<Record<PeerCallType, Shape>> = {
  probe: object({}),
  heartbeat: object({
    incarnation: string,
    dataCentre: string,
    ready: boolean,
    revision: number,
    held: list(partitionView, MAX_OWNED_PARTITIONS),
  }),
  digest: object({ views: list(partitionView, MAX_DIGEST_VIEWS) }),
  'forward-request': object({
    partition: string,
    request: object({
      requestId: string,
      service: string,
      user: string,
      team: string,
      key: nullable(string),
      contentType: string,
      body: bytes,
      deadlineMs: number,
    }),
  }),
  'forward-submit': object({
    partition: string,
    spec: any,
    deadlineMs: number,
    fallback: optional(string),
  }),
  'forward-status': object({ jobId: string, waitMs: number, knownState: string }),
  'forward-cancel': object({ jobId: string }),
  'forward-account': object({ partition: string }),
  'count-requests': object({
    partition: string,
    entry: object({
      type: oneOf('requests-counted'),
      process: string,
      incarnation: string,
      sequence: number,
      rows: list(
        object({
          user: string,
          team: string,
          service: string,
          outcome: string,
          count: number,
          waitMs: number,
        }),
        MAX_COUNT_ROWS,
      ),
      atMs: number,
    }),
  }),
  'slot-request': object({
    partition: string,
    grantId: string,
    service: string,
    lane: oneOf('prompt', 'heavy'),
    deadlineMs: number,
    exclude: list(string, MAX_EXCLUDED_RUNNERS),
  }),
  'slot-release': object({
    partition: string,
    grantId: string,
    result: oneOf('ended', 'not-sent', 'unknown'),
  }),
  'fence-slots': object({ partition: string, token: number }),
  'offer-help': object({
    address: string,
    cores: numberFrom(0),
    dataCentre: string,
    configurationVersion: optional(integerFrom(0)),
    teamArrivals: optional(list(tuple(string, numberFrom(0)), MAX_TEAMS)),
  }),
  'owner-changed': object({ claim: claimShape }),
  advise: object({ step: string, workers: list(string, MAX_ADVICE_WORKERS), timeoutMs: number }),
  'relay-record': object({ data: bytes }),
  'relay-outcome': object({ job: string }),
  'read-log': object({ from: integerFrom(0), waitMs: numberFrom(0) }),
  'read-cell-configuration': object({ version: integerFrom(0), from: integerFrom(0) }),
  'read-configuration': object({}),
};
