/** Cost of a call to the advice service and life of its tickets. */
export interface AdviceTerms {
  /** Fixed time of a call in ms. */
  decisionMs: number;
  /** Additional time in ms for each worker that the call names. */
  perWorkerMs: number;
  /** Life of a ticket in ms. */
  ticketMs: number;
}
