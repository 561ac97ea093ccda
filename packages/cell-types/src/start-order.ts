/** An order to start one run of a task. */
export interface StartOrder {
  task: string;
  run: number;
  payload: string;
  /** Latest time on the worker's clock up to which the run may go on without another lease. */
  leaseUntilMs: number;
  token: number;
  /** Checkpoint to resume from; empty for none. */
  checkpoint: string;
  /** Ticket of the advice service; empty where the queue needs none. */
  ticket: string;
}
