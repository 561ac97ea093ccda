import type { SubmissionPreview } from '@acaciahoist/cell-front/submission-preview';
import type { PlacementExplanation } from '@acaciahoist/cell-owner/placement-explanation';

/** Where a job that was not submitted would go now, as an operator reads it. */
export interface PlacementReport {
  /** A sentence that sums up the report. */
  reason: string;
  /** How this process would answer the submission. */
  front: SubmissionPreview;
  /** Absent when nothing of the job would be placed, or this process cannot tell. */
  placement?: PlacementExplanation;
  /** Where to ask for the placement, present only if this process cannot tell; null when no owner is known. */
  owner?: { owner: string; address: string } | null;
}
