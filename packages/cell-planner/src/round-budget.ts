/** What one planning round may spend. */
export interface RoundBudget {
  /** Calls for advice that can go out for prompt steps. */
  promptAsks: number;
  /** The same for other steps; lanes that are kept for prompt ones do not count. */
  otherAsks: number;
  /** Starts that can be sent before they are too old. A gang may exceed what is left of them. */
  starts: number;
}
