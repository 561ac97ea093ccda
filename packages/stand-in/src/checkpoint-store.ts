/** The progress saved by checkpoints. All workers share one store. */
export class CheckpointStore {
  static create(): CheckpointStore {
    return new CheckpointStore();
  }

  /** Progress in ms of each task with a checkpoint: by job id, then by task id. */
  private readonly progressByJob = new Map<string, Map<string, number>>();

  /** Saves the progress of a task that ended by a checkpoint. */
  save(jobId: string, taskId: string, progressMs: number): void {
    const tasks = this.progressByJob.get(jobId) ?? new Map<string, number>();
    tasks.set(taskId, progressMs);
    this.progressByJob.set(jobId, tasks);
  }

  /**
   * Returns the progress from which a resumed task continues: from its own checkpoint, otherwise
   * from another checkpoint of its job, which is then assigned to this task. 0 when there is none.
   */
  takeProgress(jobId: string, taskId: string): number {
    const tasks = this.progressByJob.get(jobId);
    const ownProgressMs = tasks?.get(taskId);
    if (tasks === undefined || ownProgressMs !== undefined) return ownProgressMs ?? 0;
    const otherCheckpoint = [...tasks][0];
    if (otherCheckpoint === undefined) return 0;
    tasks.delete(otherCheckpoint[0]);
    tasks.set(taskId, otherCheckpoint[1]);
    return otherCheckpoint[1];
  }

  /** Removes the checkpoint of a task that completed. */
  remove(jobId: string, taskId: string): void {
    const tasks = this.progressByJob.get(jobId);
    tasks?.delete(taskId);
    if (tasks?.size === 0) this.progressByJob.delete(jobId);
  }
}
