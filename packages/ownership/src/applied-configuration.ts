import type { CurrentConfiguration } from '@acaciahoist/configuration/current-configuration';

/** The configuration in force in this process. Its revision never decreases. */
export interface AppliedConfiguration extends CurrentConfiguration {
  /** Where the revision was read. `none` before the first revision is known. */
  source: 'stream' | 'peer' | 'none';
}
