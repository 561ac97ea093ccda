import type { LogLine } from '../../log-lines/log-line.js';

/** Weights of lines; the line with the greatest one decided. */
const Weight = {
  /** An answer or an end that was not the wanted one, or a worker that is out. */
  adverseEnd: 5,
  /** A run that has to be repeated. */
  lostRun: 4,
  /** A wait, or a refusal that the client repeated until the job was accepted. */
  delay: 3,
  /** An answer that came too late, although the job was accepted. */
  lateAnswer: 2,
  jobEnded: 1,
  none: 0,
} as const;
type Weight = (typeof Weight)[keyof typeof Weight];

const WEIGHTS: Readonly<Record<string, Weight>> = {
  'job-not-accepted': Weight.adverseEnd,
  'job-unknown': Weight.adverseEnd,
  'answer-timeout': Weight.adverseEnd,
  'worker-gone': Weight.adverseEnd,
  'worker-unreachable': Weight.adverseEnd,
  'worker-ejected': Weight.adverseEnd,
  'worker-draining': Weight.adverseEnd,
  'worker-entry-unreadable': Weight.adverseEnd,
  'worker-entry-not-used': Weight.adverseEnd,
  'worker-rows-unreadable': Weight.lostRun,
  'start-not-answered': Weight.lostRun,
  'stray-run-stopped': Weight.lostRun,
};
/** Weights of answers after which the job was accepted all the same. */
const SUPERSEDED_WEIGHTS: Readonly<Record<string, Weight>> = {
  'job-not-accepted': Weight.delay,
  'answer-timeout': Weight.lateAnswer,
  'job-unknown': Weight.none,
};
/** Time in ms from which on a wait explains that a job was late: the shortest aim of urgent work is near it. */
const LATE_START_MS = 1_000;

/**
 * Chooses the line that explains what happened to an id, from its lines in order of time: the newest answer or
 * end that was not the wanted one, else the newest run that had to be repeated, else the longest wait or the
 * newest refusal before the job was accepted, else the end of the job, else the newest line.
 */
export function chooseDecidingLine(lines: readonly LogLine[]): LogLine | undefined {
  const acceptedAt = lines.findLastIndex((line) => line.event === 'job-accepted');
  let deciding: LogLine | undefined;
  let decidingWeight: Weight = Weight.none;
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

function weigh(line: LogLine): Weight {
  const { event, fields } = line;
  if (event === 'job-ended')
    return fields.get('outcome') === 'completed' ? Weight.jobEnded : Weight.adverseEnd;
  if (event === 'run-ended') return fields.get('how') === 'done' ? Weight.none : Weight.lostRun;
  if (event === 'start-decided')
    return readNumber(line, 'waitedMs') >= LATE_START_MS ? Weight.delay : Weight.none;
  return WEIGHTS[event] ?? Weight.none;
}

function readNumber(line: LogLine | undefined, name: string): number {
  return Number(line?.fields.get(name) ?? 0);
}
