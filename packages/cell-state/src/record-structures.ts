/**
 * Field names of the objects in records. A record holds the index of its structure in this table
 * instead of the names, which would be half of a start record. Structures are only ever appended to
 * the table, as processes of other versions read the records in the log.
 */
export const recordStructures: readonly (readonly string[])[] = [
  ['kind', 'task', 'run', 'worker'],
  ['kind', 'task', 'run', 'how', 'saved'],
  ['kind', 'wallMs'],
  ['kind', 'job'],
  ['id', 'queue', 'payload', 'steps', 'occurrences', 'firstRunMs', 'intervalMs', 'receivedMs'],
  ['name', 'service', 'priority', 'maxAttempts', 'stretch', 'baseMs', 'advice'],
  ['decisionMs', 'perWorkerMs', 'ticketMs'],
  [
    'count',
    'millicores',
    'memoryMib',
    'accelerators',
    'estimateMs',
    'after',
    'gang',
    'sameRack',
    'label',
    'dataRack',
    'maxPerWorker',
    'checkpointing',
    'speculative',
    'longRunning',
    'usesSpareCpu',
    'image',
    'tailTargetMs',
    'maxUnavailable',
  ],
  ['kind', 'worker', 'born'],
];
