import type { JsonFields } from '@acaciahoist/http-client/json-fields';
import type { PlatformMember } from './platform-member.js';

const LOSSES = ['none', 'request', 'response'] as const;

/** Upper limit on the delay of responses: one hour. */
const MAX_RESPONSE_DELAY_MS = 3_600_000;

type ApplyFault = (member: PlatformMember, fields: JsonFields) => void;

/** The faults that every kind of member has, by name. `fields` holds the control call. */
export const linkFaultTable: ReadonlyMap<string, ApplyFault> = new Map<string, ApplyFault>([
  [
    'silent',
    ({ endpoint }, fields) => {
      endpoint.faults.lossOfAllCalls = fields.oneOf('value', LOSSES);
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
      endpoint.faults.responseDelayMs = fields.number('value', 0, MAX_RESPONSE_DELAY_MS);
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
      const isFrozen = fields.flag('value');
      // After a freeze, a worker first stops the tasks with a lapsed lease and then answers calls.
      if (member.kind === 'worker') member.worker.setFrozen(isFrozen);
      member.endpoint.faults.setFrozen(isFrozen);
    },
  ],
]);
