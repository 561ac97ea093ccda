import type { Explanation } from './explanation.js';

const TEXTS: Readonly<Record<Explanation['code'], string>> = {
  queued: 'waits behind',
  'no-room': 'waits for capacity:',
  reserved: 'waits:',
  dependency: 'waits until this service runs:',
  'back-off': 'waits for its back-off after',
  scheduled: 'waits for its start time:',
  armed: 'capacity is reserved until its start time at',
  draining: 'holds the reservation:',
  checkpointing: 'waits for checkpoints of',
  placed: 'runs:',
  adopted: 'runs, taken over at',
  stopping: 'is being stopped:',
  refused: 'refused:',
  ended: 'ended:',
};

/** Formats an explanation as one line for users and operators. */
export function formatExplanation(explanation: Explanation, nowMs: number): string {
  const text = `${TEXTS[explanation.code]} ${explanation.subject}`;
  const ageMs = Math.max(0, Math.round(nowMs - explanation.atMs));
  const until =
    explanation.untilMs > nowMs
      ? `; expected in ${Math.round(explanation.untilMs - nowMs)} ms`
      : '';
  const share = `team share ${explanation.sharePerMille} of quota ${explanation.quotaPerMille} per mille`;
  return `${text} (${share}; decided ${ageMs} ms ago${until})`;
}
