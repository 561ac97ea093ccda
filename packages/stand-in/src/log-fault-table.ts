import type { JsonFields } from '@acaciahoist/http-client/json-fields';
import type { LogService } from './log-service.js';

/** Upper limit on counts, rates and durations (ms) in control calls. */
const MAX_VALUE = 1_000_000_000;

type ApplyFault = (log: LogService, fields: JsonFields) => void;

/** The faults of the log by name. `fields` holds the control call. */
export const logFaultTable: ReadonlyMap<string, ApplyFault> = new Map<string, ApplyFault>([
  [
    'outage',
    (log, fields) => {
      log.setOutage(fields.oneOf('value', ['none', 'refuse', 'silent']));
    },
  ],
  [
    'lose-responses',
    ({ faults }, fields) => {
      const value = fields.object('value');
      const count = value.integer('count', 0, MAX_VALUE);
      const delivery = value.has('how') ? value.oneOf('how', ['withhold', 'close']) : 'withhold';
      faults.responsesToLose = count;
      faults.lossDelivery = delivery;
    },
  ],
  [
    'late-appends',
    ({ faults }, fields) => {
      const value = fields.object('value');
      const count = value.integer('count', 0, MAX_VALUE);
      faults.lateMs = value.number('lateMs', 0, 3_600_000);
      faults.appendsToDelay = count;
    },
  ],
  [
    'append-rate',
    (log, fields) => {
      log.limiter.setRate(fields.number('value', 0, MAX_VALUE));
    },
  ],
  [
    'retention-ms',
    (log, fields) => {
      log.retentionMs = fields.number('value', 0, MAX_VALUE);
    },
  ],
  [
    'retention-records',
    (log, fields) => {
      log.retentionRecords = fields.integer('value', 0, MAX_VALUE);
    },
  ],
]);
