/** An order to start one run of a task. */
export interface StartOrder {
  task: string;
  run: number;
  payload: string;
  /** Time on the worker's clock until which the run may continue without a further lease. */
  leaseUntilMs: number;
  /** Fencing token of the owner. */
  token: number;
  /** Checkpoint to resume from; empty for none. */
  checkpoint: string;
  /** Ticket of the advice service; empty when the queue needs none. */
  ticket: string;
}
