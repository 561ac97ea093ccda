import type { EntrySettings } from '@acaciahoist/types/entry-settings';
import type { TokenGrant } from '@acaciahoist/types/token-grant';
import { entryLimitFields } from './entry-limit-fields.js';
import { logFields } from './log-fields.js';
import type { Schema } from './schema.js';
import { textFormats } from './text-formats.js';

const { name, address, url, token, host, metricPrefix } = textFormats;

const tokenFields = {
  token: { type: 'text', format: token, about: 'Secret sent as `authorization: Bearer <token>`.' },
  operator: {
    type: 'text',
    format: name,
    optional: true,
    about: 'Name of the operator. Exactly one of `operator` and `caller` is given.',
  },
  caller: { type: 'text', format: name, optional: true, about: 'Name of the caller.' },
  users: {
    type: 'list',
    items: { type: 'text', format: name, about: 'Name of a user.' },
    min: 0,
    max: 100,
    uniqueBy: 'itself',
    default: [],
    about: 'Users whose work and account the token gives access to.',
  },
  mayApply: { type: 'flag', default: false, about: 'May publish a declaration.' },
  maySubmit: {
    type: 'flag',
    default: false,
    about: 'May send requests and submit and cancel jobs.',
  },
  mayReadAccount: { type: 'flag', default: false, about: 'May read the account.' },
} as const satisfies Record<keyof TokenGrant, Schema>;

const fields = {
  role: { type: 'choice', values: ['entry'], about: 'Kind of the process.' },
  listen: { type: 'text', format: address, about: 'Address for callers.' },
  peerListen: {
    type: 'text',
    format: address,
    about:
      'Address for other entry processes. It is also the name of the process and so must not be 0.0.0.0.',
  },
  dataCentre: { type: 'text', format: name, about: 'Data centre of the process.' },
  region: { type: 'text', format: name, about: 'Region of the process.' },
  platform: {
    type: 'record',
    fields: {
      logUrl: { type: 'text', format: url, about: 'Base URL of the log.' },
      vmListUrl: { type: 'text', format: url, about: 'URL of the VM list.' },
    },
    about: 'Services of the platform.',
  },
  seeds: {
    type: 'list',
    items: { type: 'text', format: address, about: 'A `peerListen` address.' },
    min: 0,
    max: 64,
    uniqueBy: 'itself',
    about: 'Entry processes to contact first; the address of the process itself may be among them.',
  },
  tokens: {
    type: 'list',
    items: { type: 'record', fields: tokenFields, about: 'A token and what it permits.' },
    min: 0,
    max: 1000,
    uniqueBy: 'token',
    about: 'Tokens that callers and operators present.',
  },
  metrics: {
    type: 'record',
    fields: {
      host: { type: 'text', format: host, about: 'Address of the statsd server.' },
      port: { type: 'integer', min: 1, max: 65_535, default: 8125, about: 'UDP port.' },
      prefix: {
        type: 'text',
        format: metricPrefix,
        default: 'acaciahoist.',
        about: 'Prefix of every metric name.',
      },
    },
    optional: true,
    about: 'Target of statsd packets; without it no metrics are sent.',
  },
  log: logFields,
  ...entryLimitFields,
} as const satisfies Record<keyof EntrySettings, Schema>;

/** Schema of the settings of an entry process. */
export const entrySettingsSchema: Extract<Schema, { type: 'record' }> = {
  type: 'record',
  fields,
  about: 'Settings of one entry process.',
};
