import type { JsonFields } from '@acaciahoist/http-client/json-fields';
import { readVm } from '@acaciahoist/http-client/read-vm';
import type { Runner } from './runner.js';
import type { VmList } from './vm-list.js';
import type { Worker } from './worker.js';

/** Upper limit on the durations in control calls. */
const MAX_DURATION_MS = 1_000_000_000;

const DELIVERIES = [
  'normal',
  'withhold',
  'close',
  'truncate',
  'chunked',
  'wrong-id',
  'duplicate',
] as const;

/** The faults of one kind of member by name. */
type FaultTable<Target> = ReadonlyMap<string, (target: Target, fields: JsonFields) => void>;

/** Reads the value of a control call as a pair of bounds `{from, to}`. */
function readRange(fields: JsonFields): [number, number] {
  const value = fields.object('value');
  return [value.number('from', 0, 1_000), value.number('to', 0, 1_000)];
}

const workers: FaultTable<Worker> = new Map<string, (worker: Worker, fields: JsonFields) => void>([
  [
    'fail-tasks',
    (worker, fields) => {
      worker.failsTasks = fields.flag('value');
    },
  ],
  [
    'usage-lag',
    (worker, fields) => {
      worker.usageLagMs = fields.number('value', 0, MAX_DURATION_MS);
    },
  ],
  [
    'size-factor',
    (worker, fields) => {
      worker.sizeFactor = readRange(fields);
    },
  ],
  [
    'run-factor',
    (worker, fields) => {
      worker.runFactor = readRange(fields);
    },
  ],
]);

const runners: FaultTable<Runner> = new Map<string, (runner: Runner, fields: JsonFields) => void>([
  [
    'slow-service',
    ({ faults }, fields) => {
      faults.serviceTimeFactor = fields.number('value', 0, 1_000_000);
    },
  ],
  [
    'service-ms',
    (runner, fields) => {
      const value = fields.object('value');
      runner.serviceMs = Object.fromEntries(
        value.names().map((name) => [name, value.number(name, 0, MAX_DURATION_MS)]),
      );
    },
  ],
  [
    'fail',
    ({ faults }, fields) => {
      faults.failsRequests = fields.flag('value');
    },
  ],
  [
    'late',
    ({ faults }, fields) => {
      faults.lateMs = fields.number('value', 0, MAX_DURATION_MS);
    },
  ],
  [
    'delivery',
    ({ faults }, fields) => {
      faults.delivery = fields.oneOf('value', DELIVERIES);
    },
  ],
]);

const vmLists: FaultTable<VmList> = new Map<string, (list: VmList, fields: JsonFields) => void>([
  [
    'outage',
    (list, fields) => {
      list.hasOutage = fields.flag('value');
    },
  ],
  [
    'lag',
    (list, fields) => {
      list.lagMs = fields.number('value', 0, MAX_DURATION_MS);
    },
  ],
  [
    'hide',
    (list, fields) => {
      list.hiddenAddresses = new Set(fields.texts('value', 10_000));
    },
  ],
  [
    'phantoms',
    (list, fields) => {
      list.phantoms = fields.list('value', 10_000, readVm);
    },
  ],
  [
    'add',
    (list, fields) => {
      list.set(readVm(fields.object('value')));
    },
  ],
  [
    'remove',
    (list, fields) => {
      list.remove(fields.text('value'));
    },
  ],
  [
    'leaving',
    (list, fields) => {
      list.markLeaving(fields.text('value'));
    },
  ],
]);

/** The faults of workers, runners and the VM list. `fields` holds the control call. */
export const endpointFaultTables = { workers, runners, vmLists };
