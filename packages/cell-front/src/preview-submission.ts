import { answers } from '@acaciahoist/errors/answers';
import { ErrorKind } from '@acaciahoist/errors/error-kind';
import { PreviewReason } from './preview-reason.js';
import type { Refusal } from './refusal.js';
import type { SubmissionPreview } from './submission-preview.js';

interface Options {
  id: string;
  isKnown: boolean;
  /** Whether a cancel of the id came first. */
  isCancelled: boolean;
  /** Why the job would be refused at once; undefined when it would not. */
  refusal: Refusal | undefined;
  /** Whether neither the store nor another process answers. */
  isCutOff: boolean;
  /** Duration in ms of the current outage of the store; 0 while the store is available. */
  storeOutageMs: number;
}

/** Tells how a front would answer a submission, in the order in which a submission is checked. */
export function previewSubmission(options: Options): SubmissionPreview {
  const { id, isKnown, isCancelled, refusal, isCutOff } = options;
  const storeOutageMs = Math.round(options.storeOutageMs);
  const outage = storeOutageMs > 0 ? { storeOutageMs } : {};
  if (isKnown)
    return {
      answer: 'accepted',
      status: 200,
      why: PreviewReason.knownJob,
      message: `job ${id} was accepted before; ask why it waits instead`,
    };
  if (refusal !== undefined)
    return {
      answer: 'refused',
      status: answers[refusal.failure.kind].httpStatus,
      why: refusal.reason,
      message: refusal.failure.message,
      ...outage,
    };
  if (isCutOff)
    return {
      answer: 'refused',
      status: answers[ErrorKind.logUnavailable].httpStatus,
      why: PreviewReason.storeUnavailable,
      message: 'neither the store nor another process answers this process',
      ...outage,
    };
  if (isCancelled)
    return {
      answer: 'accepted',
      status: 200,
      why: PreviewReason.cancelledBefore,
      message: `a cancel of job ${id} came first, so that it would be a cancelled job`,
    };
  return { answer: 'accepted', status: 200, ...outage };
}
