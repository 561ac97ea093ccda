// Keeps the runs of all tasks on all workers, and finds those that break TWICE.

/** Runs by task, in the order of their starts. */
export class RunHistory {
  byTask = new Map();

  /** Adds the runs of a worker from now on. */
  watch(worker) {
    worker.onStart = (run) => {
      const runs = this.byTask.get(run.task) ?? [];
      this.byTask.set(run.task, runs);
      runs.push({
        worker: worker.id,
        run: run.run,
        key: run,
        startedAt: performance.now(),
        how: '',
      });
    };
    worker.onEnd = (run, how) => this.close(run, how);
  }

  /** Ends the runs that a worker lost with its power. */
  loseAll(runs) {
    for (const run of runs) this.close(run, 'lost');
  }

  close(run, how) {
    const entry = this.byTask.get(run.task)?.find(({ key }) => key === run);
    if (entry === undefined) return;
    entry.endedAt = performance.now();
    entry.how = how;
  }

  /** Describes each pair of runs of one task that were at work at the same time. */
  findOverlaps() {
    const overlaps = [];
    for (const [task, runs] of this.byTask)
      for (const [index, later] of runs.entries())
        for (const earlier of runs.slice(0, index)) {
          const endedAt = earlier.endedAt ?? Number.POSITIVE_INFINITY;
          if (later.startedAt >= endedAt) continue;
          const overlapMs = Math.min(endedAt, later.endedAt ?? endedAt) - later.startedAt;
          overlaps.push(
            `TWICE: task ${task} ran on ${earlier.worker} (run ${earlier.run}) and on ${later.worker} ` +
              `(run ${later.run}) at the same time, for ${Math.round(overlapMs)} ms`,
          );
        }
    return overlaps;
  }
}
