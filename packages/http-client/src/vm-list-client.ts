import type { Result } from 'true-myth/result';
import type { Failure } from '@acaciahoist/errors';
import type { Vm } from '@acaciahoist/types/vm';

/** Reads the platform's list of VMs. Fails with `endpoint-failed`. */
export type VmListClient = () => Promise<Result<readonly Vm[], Failure>>;
