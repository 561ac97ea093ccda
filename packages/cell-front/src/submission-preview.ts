import type { PreviewReason } from './preview-reason.js';

/** How a front would answer a submission now. */
export interface SubmissionPreview {
  answer: 'accepted' | 'refused';
  /** HTTP status of the answer. */
  status: number;
  /** Absent for a new job that would be accepted. */
  why?: PreviewReason;
  message?: string;
  /** Duration in ms of the current outage of the store; absent while it is available. */
  storeOutageMs?: number;
}
