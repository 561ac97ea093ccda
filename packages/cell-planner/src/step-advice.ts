/** What is known of the advice for a step. */
export interface StepAdvice {
  /** Time in ms at which the ticket of an allowed worker expires; may have passed. */
  allowed: ReadonlyMap<string, number>;
  /** Workers that were named and are not allowed. */
  denied: ReadonlySet<string>;
  /** A call is in progress. */
  isAsked: boolean;
  /** The service answered at least once. */
  isKnown: boolean;
}
