import type { PublicationVerdict } from './publication-verdict.js';

/** Functions that the replay of the configuration stream calls. */
export interface ConfigurationOptions {
  /**
   * Returns true when the text parses and may replace the text in force, which is empty before the
   * first revision. It must return the same result in every process.
   */
  accepts?: (text: string, inForce: string) => boolean;
  /** Called for each publication as it is replayed. */
  onPublication?: (verdict: PublicationVerdict) => void;
}
