/** Rule for the characters and the length of a text field. */
export interface TextFormat {
  name: string;
  pattern: RegExp;
  /** Longest text in UTF-16 code units. Checked before the pattern. */
  maxLength: number;
  example: string;
  /** The pattern and the length in words. */
  rule: string;
}
