import type { ConfigurationRecord } from '@acaciahoist/types/configuration-record';
import type { Offset } from '@acaciahoist/types/offset';

/** The result of replaying one publication. It is the same for every reader. */
export interface PublicationVerdict {
  offset: Offset;
  publication: ConfigurationRecord & { type: 'publication' };
  /**
   * `conflict`: the base revision was not in force. `unacceptable`: the option `accepts` returned
   * false, because the text does not parse or changes a field that may not change.
   */
  result: 'accepted' | 'conflict' | 'unacceptable';
  /** Revision in force after the record. */
  revision: number;
  /** Text in force after the record. */
  text: string;
  /** Operator who published the revision in force after the record. */
  operator: string;
}
