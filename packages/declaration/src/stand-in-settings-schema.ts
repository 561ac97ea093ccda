import type { StandInSettings } from '@acaciahoist/types/stand-in-settings';
import { logFields } from './log-fields.js';
import { resourceFields } from './resource-fields.js';
import type { Schema } from './schema.js';
import { textFormats } from './text-formats.js';

const { name, address } = textFormats;

const dataCentreFields = {
  name: { type: 'text', format: name, about: 'Name of the data centre.' },
} as const satisfies Readonly<Record<string, Schema>>;

const fields = {
  role: { type: 'choice', values: ['stand-in'], about: 'Kind of the process.' },
  listen: {
    type: 'text',
    format: address,
    about: 'Address of the log and the VM list; workers and runners use the ports after it.',
  },
  log: logFields,
  dataCentres: {
    type: 'list',
    items: { type: 'record', fields: dataCentreFields, about: 'A data centre.' },
    min: 1,
    max: 32,
    uniqueBy: 'name',
    about: 'Data centres with their simulated VMs.',
  },
  runnersPerDataCentre: { type: 'integer', min: 0, max: 1000, about: 'Runners in each one.' },
  workersPerDataCentre: { type: 'integer', min: 0, max: 1000, about: 'Workers in each one.' },
  workersPerRack: { type: 'integer', min: 1, max: 1000, default: 6, about: 'Workers in a rack.' },
  entries: {
    type: 'list',
    items: {
      type: 'record',
      fields: {
        address: { type: 'text', format: address, about: 'Its `peerListen` address.' },
        dataCentre: { type: 'text', format: name, about: 'Its data centre.' },
      },
      about: 'An entry process.',
    },
    min: 0,
    max: 256,
    uniqueBy: 'address',
    default: [],
    about: 'Entry processes shown in the VM list.',
  },
  services: {
    type: 'list',
    items: { type: 'text', format: name, about: 'Name of a service.' },
    min: 0,
    max: 2000,
    uniqueBy: 'itself',
    default: [],
    about: 'Services that every runner serves.',
  },
  workerResources: {
    type: 'record',
    fields: resourceFields,
    default: { millicores: 32_000, memoryMib: 65_536, accelerators: {} },
    about: 'Size of a worker.',
  },
  slotsPerRunner: { type: 'integer', min: 1, max: 1024, default: 8, about: 'Slots of a runner.' },
  serviceMs: {
    type: 'integer',
    min: 0,
    max: 600_000,
    default: 10,
    about: 'Time that a runner takes for one request.',
  },
  appendsPerSecond: {
    type: 'integer',
    min: 1,
    max: 100_000,
    default: 300,
    about: 'Appends accepted per second in total; more are refused with status 429.',
  },
  retentionMs: {
    type: 'integer',
    min: 1000,
    max: 31_536_000_000,
    default: 21_600_000,
    about: 'Time for which records are kept.',
  },
  vmListLagMs: {
    type: 'integer',
    min: 0,
    max: 600_000,
    default: 3000,
    about: 'Age of the VM list.',
  },
  usageLagMs: {
    type: 'integer',
    min: 0,
    max: 600_000,
    default: 1000,
    about: 'Age of the usage that workers report.',
  },
  seed: {
    type: 'integer',
    min: 0,
    max: 4_294_967_295,
    default: 1,
    about: 'Seed of random choices.',
  },
} as const satisfies Record<keyof StandInSettings, Schema>;

/** Schema of the settings of the process that simulates the platform. */
export const standInSettingsSchema: Extract<Schema, { type: 'record' }> = {
  type: 'record',
  fields,
  about: 'Settings of the process `stand-in`, which simulates the platform.',
};
