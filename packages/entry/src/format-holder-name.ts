import type { ProcessIdentity } from '@acaciahoist/types/process-identity';

/** Name of a process run as the holder of slot grants. */
export function formatHolderName(
  identity: Pick<ProcessIdentity, 'process' | 'incarnation'>,
): string {
  return `${identity.process} ${identity.incarnation}`;
}
