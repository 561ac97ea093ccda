/** A value with its location, read from a text or taken from a decoded value. */
export type Tree = {
  /** Offset in the text; 0 when there is no text. */
  offset: number;
  parent: Tree | undefined;
  /** Field name or index in the parent; undefined at the root. */
  step: string | number | undefined;
} & (
  | { type: 'record'; entries: { name: string; offset: number; value: Tree }[] }
  | { type: 'list'; items: Tree[] }
  | { type: 'literal'; value: string | number | boolean | null }
  /** A value that JSON cannot represent, such as a function, or a part that is nested too deeply. */
  | { type: 'foreign'; description: string }
);
