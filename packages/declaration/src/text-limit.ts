/** Limits of a text, checked before it is parsed, or of a decoded value. */
export interface TextLimit {
  /** Longest text in UTF-16 code units. For a decoded value, see `readValue`. */
  characters: number;
  /**
   * Largest number of values and separators. It bounds the memory: parsing 350,000 empty records takes
   * 216 MB.
   */
  tokens: number;
  /** Deepest nesting of records and lists. Keeps the recursive parser from overflowing the stack. */
  nesting: number;
}
