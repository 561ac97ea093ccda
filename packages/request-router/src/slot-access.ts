import type { Result } from 'true-myth/result';
import type { Failure } from '@acaciahoist/errors';
import type { SlotGrant } from '@acaciahoist/slot-pool/slot-grant';
import type { ReleaseResult } from '@acaciahoist/slot-pool/release-result';
import type { SlotRequest } from '@acaciahoist/slot-pool/slot-request';

/** Access to slot pools, which may be in other processes. */
export interface SlotAccess {
  acquire: (request: SlotRequest) => Promise<Result<SlotGrant, Failure>>;
  /** Ends a grant or cancels its slot request. May be called more than once for an id. */
  release: (grantId: string, result: ReleaseResult) => void;
}
