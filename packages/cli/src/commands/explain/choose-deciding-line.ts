import type { LogLine } from '../../log-lines/log-line.js';

/** Events that end or refuse something, or end the use of a worker, in the order of their weight. */
const WEIGHTS: Readonly<Record<string, number>> = {
  'job-not-accepted': 4,
  'job-unknown': 4,
  'answer-timeout': 4,
  'worker-gone': 4,
  'worker-unreachable': 4,
  'worker-ejected': 4,
  'worker-draining': 4,
  'worker-entry-unreadable': 4,
  'worker-entry-not-used': 4,
  'worker-rows-unreadable': 3,
  'start-not-answered': 3,
  'stray-run-stopped': 3,
};
const ENDED_WRONG_WEIGHT = 4;
const RUN_ENDED_WRONG_WEIGHT = 3;
const LATE_START_WEIGHT = 2;
/** A refusal that the client repeated until the job was accepted. */
const SUPERSEDED_REFUSAL_WEIGHT = 2;
const JOB_ENDED_WEIGHT = 1;
/** Time in ms from which on a wait explains that a job was late: the shortest aim of urgent work is near it. */
const LATE_START_MS = 1_000;
/** Weights of answers after which the job was accepted all the same. */
const SUPERSEDED_WEIGHTS: Readonly<Record<string, number>> = {
  'job-not-accepted': SUPERSEDED_REFUSAL_WEIGHT,
  'answer-timeout': SUPERSEDED_REFUSAL_WEIGHT,
  'job-unknown': 0,
};

/**
 * Chooses the line that explains what happened to an id, from its lines in order of time: the newest answer or
 * end that was not the wanted one, else the newest run that had to be repeated, else the longest wait or the
 * newest refusal before the job was accepted, else the end of the job, else the newest line.
 */
export function chooseDecidingLine(lines: readonly LogLine[]): LogLine | undefined {
  const acceptedAt = lines.findLastIndex((line) => line.event === 'job-accepted');
  let deciding: LogLine | undefined;
  let decidingWeight = 0;
  lines.forEach((line, index) => {
    const supersededWeight = index < acceptedAt ? SUPERSEDED_WEIGHTS[line.event] : undefined;
    const weight = supersededWeight ?? weigh(line);
    if (weight < decidingWeight) return;
    const isShorterWait =
      line.event === 'start-decided' &&
      deciding?.event === 'start-decided' &&
      weight === decidingWeight &&
      readNumber(line, 'waitedMs') < readNumber(deciding, 'waitedMs');
    if (isShorterWait) return;
    deciding = line;
    decidingWeight = weight;
  });
  return deciding;
}

function weigh(line: LogLine): number {
  const { event, fields } = line;
  if (event === 'job-ended')
    return fields.get('outcome') === 'completed' ? JOB_ENDED_WEIGHT : ENDED_WRONG_WEIGHT;
  if (event === 'run-ended') return fields.get('how') === 'done' ? 0 : RUN_ENDED_WRONG_WEIGHT;
  if (event === 'start-decided')
    return readNumber(line, 'waitedMs') >= LATE_START_MS ? LATE_START_WEIGHT : 0;
  return WEIGHTS[event] ?? 0;
}

function readNumber(line: LogLine | undefined, name: string): number {
  return Number(line?.fields.get(name) ?? 0);
}
