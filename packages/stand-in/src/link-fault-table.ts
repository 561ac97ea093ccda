import type { JsonFields } from '@acaciahoist/http-client/json-fields';
import type { PlatformMember } from './platform-member.js';

const LOSSES = ['none', 'request', 'response'] as const;

const MAX_DELAY_MS = 3_600_000;

type ApplyFault = (member: PlatformMember, fields: JsonFields) => void;

/** Faults that every kind of stand-in has. `fields` holds the control call. */
export const linkFaultTable: ReadonlyMap<string, ApplyFault> = new Map<string, ApplyFault>([
  [
    'silent',
    ({ endpoint }, fields) => {
      endpoint.faults.silent = fields.oneOf('value', LOSSES);
    },
  ],
  [
    'silent-connections',
    ({ endpoint }, fields) => {
      endpoint.setOpenConnectionLoss(fields.oneOf('value', LOSSES));
    },
  ],
  [
    'slow',
    ({ endpoint }, fields) => {
      endpoint.faults.slowMs = fields.number('value', 0, MAX_DELAY_MS);
    },
  ],
  [
    'blocked-link',
    ({ endpoint }, fields) => {
      const value = fields.object('value');
      endpoint.faults.setProcessLoss(value.text('process'), value.oneOf('loses', LOSSES));
    },
  ],
  [
    'freeze',
    (member, fields) => {
      const on = fields.flag('value');
      // A worker that thaws stops the tasks whose lease lapsed before it answers any call.
      if (member.kind === 'worker') member.worker.freeze(on);
      member.endpoint.faults.freeze(on);
    },
  ],
]);
