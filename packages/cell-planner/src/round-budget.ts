/** Limits on the advice requests and starts of one planning round. */
export interface RoundBudget {
  /** Number of advice requests that can be sent for prompt steps, those of priority 0. */
  promptRequests: number;
  /**
   * Number of advice requests for other steps, without the lanes that are reserved for prompt
   * steps.
   */
  otherRequests: number;
  /**
   * Number of starts that can be sent before they are too old. A gang starts whole even if it
   * exceeds the remaining number.
   */
  starts: number;
}
