import type { TextFormat } from './text-format.js';

/** Properties that all types of schema have. */
interface FieldDescription {
  /** One sentence for the reference page. */
  about: string;
  /** Value of an absent field. A field with neither `default` nor `optional` is required. */
  default?: unknown;
  /** The field may be absent and then has no value. */
  optional?: true;
}

/**
 * Describes the values that a field, list item or map value may have. Both the checks and the reference
 * page use it. Units are part of the field names (`Ms`, `Mib`, `PerMille`, …).
 */
export type Schema = FieldDescription &
  (
    | { type: 'text'; format: TextFormat }
    | { type: 'integer'; min: number; max: number }
    | { type: 'flag' }
    | { type: 'choice'; values: readonly string[] }
    | {
        type: 'list';
        items: Schema;
        min: number;
        max: number;
        /** Field whose value must differ between the items; `itself` for a list of texts. */
        uniqueBy?: string;
      }
    | { type: 'record'; fields: Readonly<Record<string, Schema>> }
    | { type: 'map'; keys: TextFormat; values: Schema; max: number }
  );
