/**
 * Field names of the objects in records, in the order of their numbers. A record holds the number of
 * its structure instead of the names, which are half of a start record. Append only: records in the log
 * are read by processes of other versions.
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
