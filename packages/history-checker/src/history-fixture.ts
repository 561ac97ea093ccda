import fc from 'fast-check';
import type { HistoryEvent } from './history-event.js';

const entryProcess = { process: 'p', incarnation: 'i' };
const taskDemand = { resources: { millicores: 1_000, memoryMib: 10, accelerators: { gpu: 1 } } };

/** Creates the events of one correct request or task that begins at `atMs`. */
function createEvents(kind: 'request' | 'keyed' | 'refused' | 'task', index: number, atMs: number) {
  const requestId = `r${index}`;
  const key = kind === 'keyed' ? `k${index}` : null;
  const asked = {
    ...entryProcess,
    type: 'request-asked',
    requestId,
    service: 's',
    key,
    atMs,
  } as const;
  const answered = {
    ...entryProcess,
    type: 'request-answered',
    requestId,
    atMs: atMs + 9,
  } as const;
  if (kind === 'refused') {
    return [
      asked,
      { ...answered, answer: { type: 'error', kind: 'overloaded' } },
    ] as HistoryEvent[];
  }
  if (kind === 'task') {
    const taskRun = { taskId: `t${index}`, worker: 'w', jobId: `j${index}`, part: 0, key };
    return [
      { ...taskRun, ...taskDemand, type: 'task-began', atMs },
      { ...taskRun, type: 'task-ended', outcome: 'completed', atMs: atMs + 9 },
    ] as HistoryEvent[];
  }
  const run = { requestId, runner: 'a', incarnation: 'x' };
  const events: HistoryEvent[] = [
    asked,
    { ...run, type: 'runner-began', key, atMs: atMs + 2 },
    { ...run, type: 'runner-ended', replyDigest: `d${index}`, atMs: atMs + 5 },
    { ...answered, answer: { type: 'reply', bodyDigest: `d${index}`, isComplete: true } },
  ];
  if (key !== null) {
    events.push({ type: 'key-claimed', key, requestDigest: 'q', atMs: atMs + 1 });
    events.push({ type: 'outcome-recorded', key, outcome: 'completed', atMs: atMs + 7 });
  }
  return events;
}

const initialEvents: HistoryEvent[] = [
  { ...entryProcess, type: 'process-started', atMs: 0 },
  { type: 'runner-capacity', runner: 'a', slots: 2, atMs: 0 },
  {
    type: 'worker-capacity',
    worker: 'w',
    resources: { millicores: 2_000, memoryMib: 100, accelerators: { gpu: 2 } },
    atMs: 0,
  },
  { type: 'configuration-accepted', revision: 1, textDigest: 'c1', atMs: 0 },
  { ...entryProcess, type: 'configuration-in-force', revision: 1, textDigest: 'c1', atMs: 5 },
];

/**
 * Generates correct histories: requests and tasks of which at most two overlap, a configuration change, a
 * leaving runner and planned stops.
 */
const correctHistories = fc
  .array(fc.constantFrom('request', 'keyed', 'refused', 'task'), { minLength: 4, maxLength: 40 })
  .map((kinds): HistoryEvent[] => {
    const work = kinds.flatMap((kind, index) => createEvents(kind, index, 10 + index * 5));
    const endMs = 30 + kinds.length * 5;
    return [
      ...initialEvents,
      ...work,
      { type: 'configuration-accepted', revision: 2, textDigest: 'c2', atMs: 20 },
      { ...entryProcess, type: 'configuration-in-force', revision: 2, textDigest: 'c2', atMs: 900 },
      { type: 'endpoint-leaving', endpoint: 'a', atMs: endMs },
      { type: 'stop-begun', endpoint: 'a', atMs: 30 },
      { type: 'stop-ended', endpoint: 'a', atMs: endMs },
      { type: 'stop-begun', endpoint: 'p', atMs: 30 },
      { type: 'stop-ended', endpoint: 'p', atMs: endMs },
      { ...entryProcess, type: 'process-ended', atMs: 20_000 },
    ];
  });

/** Index of one more request or task, which no generated history contains. */
const extraIndex = 1_000;
/** Creates the events of this request or task and changes those of one type, mostly to break a promise. */
const createChangedEvents = (
  kind: 'request' | 'keyed' | 'refused' | 'task',
  type: HistoryEvent['type'],
  change: object,
): HistoryEvent[] =>
  createEvents(kind, extraIndex, 1_000).map((event): HistoryEvent =>
    event.type === type ? { ...event, ...change } : event,
  );
const createRunnerBeganEvent = (
  requestId: string,
  atMs: number,
  key: string | null = null,
): HistoryEvent => ({
  type: 'runner-began',
  requestId,
  runner: 'a',
  incarnation: 'x',
  key,
  atMs,
});
const createInForceEvent = (revision: number, atMs: number): HistoryEvent => ({
  ...entryProcess,
  type: 'configuration-in-force',
  revision,
  textDigest: `c${revision}`,
  atMs,
});
const createStopEvents = (endpoint: string): HistoryEvent[] => [
  { type: 'stop-begun', endpoint, atMs: 999 },
  { type: 'stop-ended', endpoint, atMs: 1_004 },
];

/** Histories and events that the tests of the checker share. */
export const historyFixture = {
  entryProcess,
  createEvents,
  initialEvents,
  correctHistories,
  extraIndex,
  createChangedEvents,
  createRunnerBeganEvent,
  createInForceEvent,
  createStopEvents,
} as const;
