/** Progress that checkpoints kept, reachable from every worker. */
export class CheckpointStore {
  static create(): CheckpointStore {
    return new CheckpointStore();
  }

  /** Progress in ms by task id, by job id. */
  private readonly progressByJob = new Map<string, Map<string, number>>();

  save(jobId: string, taskId: string, progressMs: number): void {
    const tasks = this.progressByJob.get(jobId) ?? new Map<string, number>();
    tasks.set(taskId, progressMs);
    this.progressByJob.set(jobId, tasks);
  }

  /**
   * Progress from which a resumed task continues: of its own checkpoint, otherwise of another one of
   * its job, which then belongs to this task. 0 when there is none.
   */
  takeProgress(jobId: string, taskId: string): number {
    const tasks = this.progressByJob.get(jobId);
    const own = tasks?.get(taskId);
    if (tasks === undefined || own !== undefined) return own ?? 0;
    const other = [...tasks][0];
    if (other === undefined) return 0;
    tasks.delete(other[0]);
    tasks.set(taskId, other[1]);
    return other[1];
  }

  /** Forgets the checkpoint of a task that completed. */
  remove(jobId: string, taskId: string): void {
    const tasks = this.progressByJob.get(jobId);
    tasks?.delete(taskId);
    if (tasks?.size === 0) this.progressByJob.delete(jobId);
  }
}
