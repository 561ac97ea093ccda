import type { CellFront } from '@acaciahoist/cell-front';
import { PreviewReason } from '@acaciahoist/cell-front/preview-reason';
import type { CellJob } from '@acaciahoist/cell-types';
import type { OwnerTerm } from './owner-term.js';
import type { PlacementReport } from './placement-report.js';

/** Reasons for which the log has the job or its cancel, so that nothing would be placed. */
const RECORDED_REASONS: ReadonlySet<string> = new Set([
  PreviewReason.knownJob,
  PreviewReason.cancelledBefore,
]);

/**
 * Tells operators where a job would go now, without submitting it. Every process knows what its front would answer;
 * only the owner knows the placement, which it also tells for a job that its front refuses.
 */
export function inspectPlacement(
  job: CellJob,
  cellFront: Pick<CellFront, 'previewSubmission'>,
  /** Undefined if this process is not the owner. */
  term: Pick<OwnerTerm, 'explainPlacement'> | undefined,
  /** Claim of the owner as far as this process knows. */
  claim: { owner: string; address: string } | undefined,
): PlacementReport {
  const front = cellFront.previewSubmission(job);
  const refusal =
    front.answer === 'refused' ? `this process would refuse it: ${front.message ?? ''}` : undefined;
  if (front.why !== undefined && RECORDED_REASONS.has(front.why))
    return { reason: front.message ?? front.why, front };
  const placement = term?.explainPlacement(job);
  if (placement !== undefined) return { reason: refusal ?? placement.reason, front, placement };
  if (claim === undefined)
    return {
      reason: refusal ?? 'only the owner knows the placement, and none is known; repeat the call',
      front,
      owner: null,
    };
  const { owner, address } = claim;
  return {
    reason:
      refusal ??
      `only the owner knows the placement; use the inspection address of ${owner}, which calls other processes at ${address}`,
    front,
    owner: { owner, address },
  };
}
