import type { Declaration } from '@acaciahoist/types/declaration';
import type { ServiceDeclaration } from '@acaciahoist/types/service-declaration';
import type { TeamQuota } from '@acaciahoist/types/team-quota';
import { resourceFields } from './resource-fields.js';
import type { Schema } from './schema.js';
import { textFormats } from './text-formats.js';

const { name } = textFormats;

const teamFields = {
  name: { type: 'text', format: name, about: 'Name of the team, unique within the user.' },
  quotaPerMille: {
    type: 'integer',
    min: 0,
    max: 1000,
    about:
      'Share of the cell in per mille. All teams together have at most 1000. Idle share may be borrowed.',
  },
} as const satisfies Record<keyof TeamQuota, Schema>;

const serviceFields = {
  name: {
    type: 'text',
    format: name,
    about: 'Name in `POST /services/<name>`, unique in the cell.',
  },
  user: { type: 'text', format: name, about: 'User to whom the service belongs.' },
  team: { type: 'text', format: name, about: 'Team of the user, whose quota is used.' },
  kind: {
    type: 'choice',
    values: ['service', 'batch', 'gang'],
    default: 'service',
    about: 'Kind of the work. Only kind `service` has instances.',
  },
  dependsOn: {
    type: 'list',
    items: { type: 'text', format: name, about: 'Name of a service.' },
    min: 0,
    max: 64,
    uniqueBy: 'itself',
    default: [],
    about: 'Services that must run before this one starts; without cycles.',
  },
  instances: {
    type: 'integer',
    min: 0,
    max: 10_000,
    default: 0,
    about: "Instances to keep running on workers; 0 when only the platform's runners serve it.",
  },
  minRacks: {
    type: 'integer',
    min: 0,
    max: 1000,
    default: 0,
    about: 'Smallest number of racks over which the instances are spread; at most `instances`.',
  },
  backOffMs: {
    type: 'integer',
    min: 100,
    max: 3_600_000,
    default: 1000,
    about:
      'Delay before a failed instance is started again; doubles after each failure, with jitter.',
  },
  maxBackOffMs: {
    type: 'integer',
    min: 100,
    max: 3_600_000,
    default: 60_000,
    about: 'Longest delay before a failed instance is started again.',
  },
  resources: {
    type: 'record',
    fields: resourceFields,
    default: { millicores: 0, memoryMib: 0, accelerators: {} },
    about: 'Demand of one instance.',
  },
  repeatable: {
    type: 'flag',
    about:
      'True when a request may be sent twice. A service without it needs an idempotency key per request.',
  },
  lane: {
    type: 'choice',
    values: ['prompt', 'heavy'],
    about: 'Queue of the requests: `prompt` for lookups and triage, `heavy` for the rest.',
  },
  deadlineMs: {
    type: 'integer',
    min: 1,
    max: 3_600_000,
    about: 'Time that a request may take when the caller gives no deadline.',
  },
} as const satisfies Record<keyof ServiceDeclaration, Schema>;

const fields = {
  dataCentres: {
    type: 'list',
    items: {
      type: 'record',
      fields: {
        name: {
          type: 'text',
          format: name,
          about: 'Name of the data centre; part of partition names.',
        },
        region: { type: 'text', format: name, about: 'Name of the region.' },
        partitions: {
          type: 'integer',
          min: 1,
          max: 64,
          about: 'Number of partitions. The first revision fixes it, since keys would move.',
        },
      },
      about: 'A data centre.',
    },
    min: 1,
    max: 32,
    uniqueBy: 'name',
    about: 'The data centres of the cell.',
  },
  users: {
    type: 'list',
    items: {
      type: 'record',
      fields: {
        name: { type: 'text', format: name, about: 'Name of the user.' },
        teams: {
          type: 'list',
          items: { type: 'record', fields: teamFields, about: 'A team.' },
          min: 1,
          max: 100,
          uniqueBy: 'name',
          about: 'The teams of the user.',
        },
      },
      about: 'A user.',
    },
    min: 1,
    max: 100,
    uniqueBy: 'name',
    about: 'The users of the cell.',
  },
  services: {
    type: 'list',
    items: { type: 'record', fields: serviceFields, about: 'A service.' },
    min: 0,
    max: 2000,
    uniqueBy: 'name',
    about: 'The services of the cell.',
  },
  period: {
    type: 'choice',
    values: ['day', 'month'],
    default: 'month',
    about: 'Length of an account period, in UTC.',
  },
  urgentReservePerMille: {
    type: 'integer',
    min: 0,
    max: 500,
    default: 50,
    about: 'Share of the capacity of each partition kept free for urgent and scheduled work.',
  },
} as const satisfies Record<keyof Declaration, Schema>;

/** Schema of the declaration that operators publish. */
export const declarationSchema: Extract<Schema, { type: 'record' }> = {
  type: 'record',
  fields,
  about: 'The declaration: the services of the cell, their users, and the layout of the cell.',
};
