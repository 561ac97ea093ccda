import type { ProcessIdentity } from '@acaciahoist/types/process-identity';

/** Returns the name of a process incarnation as the holder of slot grants. */
export function formatHolderName(
  identity: Pick<ProcessIdentity, 'process' | 'incarnation'>,
): string {
  return `${identity.process} ${identity.incarnation}`;
}
