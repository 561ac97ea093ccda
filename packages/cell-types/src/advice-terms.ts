/** Duration of an advice request and validity of its tickets, as the configuration gives them. */
export interface AdviceTerms {
  /** Fixed part of the duration of a request in ms. */
  decisionMs: number;
  /** Additional duration in ms for each worker that the request names. */
  perWorkerMs: number;
  /** Time in ms for which a ticket is valid. */
  ticketMs: number;
}
