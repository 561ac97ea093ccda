import { Outcome } from '@acaciahoist/types/outcome';
import { TaskOutcome } from '@acaciahoist/types/task-outcome';
import type { JournalEntry } from '@acaciahoist/types/journal-entry';
import { hasFields } from './has-fields.js';

type Fields = Parameters<typeof hasFields>[1];

const task = {
  jobId: 'string',
  taskId: 'string',
  group: 'offset',
  worker: 'string',
  atMs: 'number',
} as const;

const entryFields: Readonly<Record<JournalEntry['type'], Fields>> = {
  'job-accepted': { jobId: 'string', spec: 'object', atMs: 'number' },
  'job-respecified': { jobId: 'string', spec: 'object', atMs: 'number' },
  'task-assigned': task,
  'task-armed': task,
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

const group = { name: 'string', count: 'offset', resources: 'object' } as const;
const resources = { millicores: 'offset', memoryMib: 'offset', accelerators: 'object' } as const;
const row = {
  user: 'string',
  team: 'string',
  outcome: 'string',
  count: 'offset',
  waitMs: 'number',
} as const;
const reply = { status: 'number', contentType: 'string', bodyDigest: 'string' } as const;

function isOutcome(value: unknown): boolean {
  return typeof value === 'string' && Object.hasOwn(Outcome, value);
}

function isSpec(spec: JournalEntry & { type: 'job-accepted' | 'job-respecified' }): boolean {
  if (!hasFields(spec.spec, { user: 'string', team: 'string', groups: 'array' })) return false;
  return spec.spec.groups.every(
    (item) => hasFields(item, group) && hasFields(item.resources, resources),
  );
}

function hasValidParts(entry: JournalEntry): boolean {
  switch (entry.type) {
    case 'job-accepted':
    case 'job-respecified':
      return isSpec(entry);
    case 'task-ended':
      return Object.hasOwn(TaskOutcome, entry.outcome);
    case 'job-ended':
      return isOutcome(entry.outcome);
    case 'key-done': {
      if (!isOutcome(entry.outcome)) return false;
      if (entry.reply === null) return true;
      const { body } = entry.reply;
      return hasFields(entry.reply, reply) && (body === null || body instanceof Uint8Array);
    }
    case 'requests-counted':
      return entry.rows.every((item) => hasFields(item, row) && isOutcome(item.outcome));
    default:
      return true;
  }
}

/** True when a decoded value has the shape of a journal entry. */
export function isJournalEntry(value: unknown): value is JournalEntry {
  if (!hasFields(value, { type: 'string' })) return false;
  const { type } = value as { type: JournalEntry['type'] };
  if (!Object.hasOwn(entryFields, type)) return false;
  return hasFields(value, entryFields[type]) && hasValidParts(value as JournalEntry);
}
