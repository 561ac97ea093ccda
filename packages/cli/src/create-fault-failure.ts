import type { Fault } from '@acaciahoist/declaration/fault';
import { formatFault } from '@acaciahoist/declaration/format-fault';
import type { CallFailure } from './call-failure.js';
import { createCallFailure } from './create-call-failure.js';

/** Creates a failure that lists the faults of a file, one on each line. */
export function createFaultFailure(path: string, faults: readonly Fault[]): CallFailure {
  const countText = faults.length === 1 ? 'a fault' : `${faults.length} faults`;
  const lines = faults.map(formatFault).join('\n');
  return createCallFailure('bad-declaration', `${path} has ${countText}; nothing was sent`, {
    faults: lines,
  });
}
