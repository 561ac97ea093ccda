/** Tickets and denials that the advice service has returned for a step. */
export interface StepAdvice {
  /** Expiry time in ms of the ticket of each allowed worker; tickets may have expired. */
  allowed: ReadonlyMap<string, number>;
  /** Workers that a request named and the service did not allow. */
  denied: ReadonlySet<string>;
  /** True while a request is outstanding. */
  isOutstanding: boolean;
  /** True once the service has answered a request. */
  isAnswered: boolean;
}
