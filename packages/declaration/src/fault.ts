/** An error in a text or value, with its location and a suggested correction. */
export interface Fault {
  file: string;
  /** Counted from 1; 0 if the fault has no location in a text. */
  line: number;
  /** Counted from 1, in UTF-16 code units; 0 if the fault has no location in a text. */
  column: number;
  /** Path of the field, such as `services[2].dependsOn[0]`; empty for the whole text. */
  path: string;
  /** What is wrong. */
  problem: string;
  /** How to correct it. */
  correction: string;
}
