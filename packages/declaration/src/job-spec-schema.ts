import type { JobSpec } from '@acaciahoist/types/job-spec';
import type { TaskGroup } from '@acaciahoist/types/task-group';
import { resourceFields } from './resource-fields.js';
import type { Schema } from './schema.js';
import { textFormats } from './text-formats.js';

/** End of the year 2999; a larger value is most likely not in ms. */
const MAX_TIME_MS = 32_503_679_999_999;
/** One year. Work that takes longer has to be a service. */
const MAX_RUN_MS = 31_536_000_000;

const groupFields = {
  name: { type: 'text', format: textFormats.name, about: 'Name of the group.' },
  count: { type: 'integer', min: 1, max: 10_000, about: 'Number of tasks.' },
  resources: { type: 'record', fields: resourceFields, about: 'Declared demand of one task.' },
} as const satisfies Record<keyof TaskGroup, Schema>;

const fields = {
  family: {
    type: 'text',
    format: textFormats.family,
    about: 'Jobs of the same family share the learned estimates of demand and run time.',
  },
  user: { type: 'text', format: textFormats.name, about: 'User for whom the job runs.' },
  team: { type: 'text', format: textFormats.name, about: 'Team of the user, whose quota is used.' },
  kind: {
    type: 'choice',
    values: ['service', 'batch', 'gang'],
    about:
      'Tasks of a `gang` start in one decision, tasks of a `batch` each on its own; a `service` runs until replaced.',
  },
  groups: {
    type: 'list',
    items: { type: 'record', fields: groupFields, about: 'Tasks with the same demand.' },
    min: 1,
    max: 32,
    uniqueBy: 'name',
    about: 'The tasks of the job, at most 10000 in all.',
  },
  runMs: {
    type: 'integer',
    min: 1,
    max: MAX_RUN_MS,
    optional: true,
    about: 'Declared run time of one task. Required except for kind `service`, which has none.',
  },
  urgent: { type: 'flag', default: false, about: 'Uses the urgent queue. Not for kind `service`.' },
  startAtMs: {
    type: 'integer',
    min: 0,
    max: MAX_TIME_MS,
    optional: true,
    about: 'Wall-clock time before which the job must not start, in ms since 1970 (UTC).',
  },
  dueAtMs: {
    type: 'integer',
    min: 0,
    max: MAX_TIME_MS,
    optional: true,
    about: 'Wall-clock time after which a completed job counts as late, in ms since 1970 (UTC).',
  },
  repeatable: {
    type: 'flag',
    about: 'True when a task that started may be started again after a failure.',
  },
  key: {
    type: 'text',
    format: textFormats.key,
    optional: true,
    about: 'Idempotency key. Required when `repeatable` is false.',
  },
  dependsOn: {
    type: 'list',
    items: { type: 'text', format: textFormats.name, about: 'Name of a service.' },
    min: 0,
    max: 64,
    uniqueBy: 'itself',
    optional: true,
    about: 'Services that must be running before this job starts.',
  },
} as const satisfies Record<keyof JobSpec, Schema>;

/** Schema of a submitted job. */
export const jobSpecSchema: Extract<Schema, { type: 'record' }> = {
  type: 'record',
  fields,
  about: 'A job as submitted with `POST /jobs` or `acaciahoist submit`.',
};
