import { Result } from 'true-myth/result';
import type { CallFailure } from '../../call-failure.js';
import { createCallFailure } from '../../create-call-failure.js';
import type { LogLine } from '../../log-lines/log-line.js';
import { BeliefLines } from './belief-lines.js';
import { chooseDecidingLine } from './choose-deciding-line.js';
import { concernsId } from './concerns-id.js';
import type { Explanation } from './explanation.js';

/** Limit on the memory for the lines of one id. A worker of a large cell has some tens of thousands a day. */
const MAX_ID_LINES = 1_000;

/** Fields that limit a line to one part of the cell. */
const SUBJECT_FIELDS = ['job', 'step', 'task', 'worker', 'queue'] as const;

/**
 * Reads the logs twice: first for the lines of the id, then for what the processes learned around the time of
 * the line that decided. `readLines` yields undefined for an unreadable line.
 */
export async function explainId(
  id: string,
  readLines: () => AsyncIterable<LogLine | undefined>,
): Promise<Result<Explanation, CallFailure>> {
  let lines: LogLine[] = [];
  let leftOutLines = 0;
  let readableLines = 0;
  let unreadableLines = 0;
  for await (const line of readLines()) {
    if (line === undefined) unreadableLines += 1;
    else {
      readableLines += 1;
      if (concernsId(line, id)) lines.push(line);
    }
    if (lines.length < 2 * MAX_ID_LINES) continue;
    leftOutLines += lines.length - MAX_ID_LINES;
    lines = sortByTime(lines).slice(-MAX_ID_LINES);
  }
  lines = sortByTime(lines);
  const deciding = chooseDecidingLine(lines);
  if (deciding === undefined) {
    const message = `no line names ${id}; give the logs of all processes, and an id of a job, step, task or worker`;
    return Result.err(createCallFailure('not-found', message, { readableLines, unreadableLines }));
  }

  const toMs = chooseTime(lines);
  const beliefLines = BeliefLines.create({
    momentMs: toMs(deciding),
    toMs,
    isRelated: createRelation(lines),
  });
  for await (const line of readLines()) if (line !== undefined) beliefLines.add(line);
  const ownerStart = beliefLines.findOwnerStart();
  const processes = new Set([deciding.process, ownerStart?.process ?? deciding.process]);
  const { lines: beliefs, leftOut: leftOutBeliefs } = beliefLines.select(processes);
  return Result.ok({
    id,
    lines,
    leftOutLines,
    deciding,
    lastRunEnd:
      deciding.fields.get('outcome') === 'failed'
        ? lines.findLast((line) => line.event === 'run-ended')
        : undefined,
    cellTimeSinceEndMs: findCellTimeSinceEnd(lines, deciding),
    ownerStart,
    beliefs,
    leftOutBeliefs,
    unreadableLines,
  });
}

function sortByTime(lines: readonly LogLine[]): LogLine[] {
  const toMs = chooseTime(lines);
  return [...lines].sort((a, b) => toMs(a) - toMs(b));
}

/** Selects the lines about the state of a process and about the workers and queues that the given lines name. */
function createRelation(lines: readonly LogLine[]): (line: LogLine) => boolean {
  const names = new Set(
    lines.flatMap(({ fields }) => SUBJECT_FIELDS.map((name) => fields.get(name))),
  );
  return ({ fields }) =>
    SUBJECT_FIELDS.every((name) => !fields.has(name) || names.has(fields.get(name)));
}

/** The time of the collector is the same clock for all processes; it is used if all lines have it. */
function chooseTime(lines: readonly LogLine[]): (line: LogLine) => number {
  const isCollected = lines.every((line) => line.collectedMs !== undefined);
  return (line) => (isCollected ? line.collectedMs : line.wallMs) ?? NaN;
}

function findCellTimeSinceEnd(lines: readonly LogLine[], deciding: LogLine): number | undefined {
  if (deciding.event !== 'job-unknown') return undefined;
  const end = lines.findLast((line) => line.event === 'job-ended');
  const endMs = Number(end?.fields.get('cellTimeMs') ?? NaN);
  const unknownMs = Number(deciding.fields.get('cellTimeMs') ?? NaN);
  return Number.isNaN(unknownMs - endMs) ? undefined : unknownMs - endMs;
}
