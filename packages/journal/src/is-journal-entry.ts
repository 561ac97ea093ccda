import { Outcome } from '@acaciahoist/types/outcome';
import { TaskOutcome } from '@acaciahoist/types/task-outcome';
import type { JournalEntry } from '@acaciahoist/types/journal-entry';
import { hasFields } from './has-fields.js';

type FieldTypes = Parameters<typeof hasFields>[1];

const taskFields = {
  jobId: 'string',
  taskId: 'string',
  group: 'offset',
  worker: 'string',
  atMs: 'number',
} as const;

const entryFields: Readonly<Record<JournalEntry['type'], FieldTypes>> = {
  'job-accepted': { jobId: 'string', spec: 'object', atMs: 'number' },
  'job-respecified': { jobId: 'string', spec: 'object', atMs: 'number' },
  'task-assigned': taskFields,
  'task-armed': taskFields,
  'task-started': { taskId: 'string', atMs: 'number' },
  'task-ended': { taskId: 'string', outcome: 'string', atMs: 'number' },
  'cancel-requested': { jobId: 'string', atMs: 'number' },
  'job-ended': { jobId: 'string', outcome: 'string', reason: 'string', atMs: 'number' },
  'key-claimed': {
    key: 'string',
    requestDigest: 'string',
    service: 'string',
    user: 'string',
    team: 'string',
    atMs: 'number',
  },
  'key-done': { key: 'string', outcome: 'string', reply: 'nullable', atMs: 'number' },
  'key-expired': { key: 'string', atMs: 'number' },
  'job-key-delegated': {
    key: 'string',
    specDigest: 'string',
    partition: 'string',
    atMs: 'number',
  },
  'requests-counted': {
    process: 'string',
    incarnation: 'string',
    sequence: 'offset',
    rows: 'array',
    atMs: 'number',
  },
  'period-closed': { period: 'string', atMs: 'number' },
};

const groupFields = { name: 'string', count: 'offset', resources: 'object' } as const;
const resourceFields = {
  millicores: 'offset',
  memoryMib: 'offset',
  accelerators: 'object',
} as const;
const rowFields = {
  user: 'string',
  team: 'string',
  outcome: 'string',
  count: 'offset',
  waitMs: 'number',
} as const;
const replyFields = { status: 'number', contentType: 'string', bodyDigest: 'string' } as const;

function isOutcome(value: unknown): boolean {
  return typeof value === 'string' && Object.hasOwn(Outcome, value);
}

function hasValidSpec(entry: JournalEntry & { type: 'job-accepted' | 'job-respecified' }): boolean {
  if (!hasFields(entry.spec, { user: 'string', team: 'string', groups: 'array' })) return false;
  return entry.spec.groups.every(
    (item) => hasFields(item, groupFields) && hasFields(item.resources, resourceFields),
  );
}

/** Checks the values within the fields of an entry: spec, outcome, reply and rows. */
function hasValidNestedValues(entry: JournalEntry): boolean {
  switch (entry.type) {
    case 'job-accepted':
    case 'job-respecified':
      return hasValidSpec(entry);
    case 'task-ended':
      return Object.hasOwn(TaskOutcome, entry.outcome);
    case 'job-ended':
      return isOutcome(entry.outcome);
    case 'key-done': {
      if (!isOutcome(entry.outcome)) return false;
      if (entry.reply === null) return true;
      const { body } = entry.reply;
      return hasFields(entry.reply, replyFields) && (body === null || body instanceof Uint8Array);
    }
    case 'requests-counted':
      return entry.rows.every((item) => hasFields(item, rowFields) && isOutcome(item.outcome));
    default:
      return true;
  }
}

/** Returns true when a decoded value has the fields and field types of a journal entry. */
export function isJournalEntry(value: unknown): value is JournalEntry {
  if (!hasFields(value, { type: 'string' })) return false;
  const { type } = value as { type: JournalEntry['type'] };
  if (!Object.hasOwn(entryFields, type)) return false;
  return hasFields(value, entryFields[type]) && hasValidNestedValues(value as JournalEntry);
}
