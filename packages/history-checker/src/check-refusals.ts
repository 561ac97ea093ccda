import { answers } from '@acaciahoist/errors/answers';
import type { Check } from './check.js';
import { groupBy } from './group-by.js';
import { selectEvents } from './select-events.js';
import type { Violation } from './violation.js';

/** Promise 4: work that was refused with an error that means "not run" neither ran nor runs later. */
export const checkRefusals: Check = (events) => {
  const violations: Violation[] = [];
  const runs = selectEvents(events, 'runner-began');
  const runsByRequest = groupBy(runs, (event) => event.requestId);
  const runsByKey = groupBy(runs, (event) => event.key);
  const requests = new Map(
    selectEvents(events, 'request-asked').map((request) => [request.requestId, request]),
  );
  for (const event of selectEvents(events, 'request-answered')) {
    const { answer, requestId } = event;
    if (answer.type !== 'error' || answers[answer.kind].execution !== 'not-run') continue;
    const key = requests.get(requestId)?.key ?? null;
    // Another call with the same key may run after this answer, but must not have run before it. A key
    // conflict is an exception: the key belongs to a request with another body, which may have run.
    const mustCheckKey = key !== null && answer.kind !== 'key-conflict';
    const keyRuns = mustCheckKey ? (runsByKey.get(key) ?? []) : [];
    const earlierKeyRuns = keyRuns.filter(
      (run) => run.atMs <= event.atMs && run.requestId !== requestId,
    );
    const forbiddenRuns = [...(runsByRequest.get(requestId) ?? []), ...earlierKeyRuns];
    if (forbiddenRuns.length === 0) continue;
    const message = `Request ${requestId} was answered ${answer.kind}, which means not run, but ran.`;
    violations.push({ promise: 4, message, events: [...forbiddenRuns, event] });
  }
  const taskRunsByJob = groupBy(selectEvents(events, 'task-began'), (event) => event.jobId);
  for (const event of selectEvents(events, 'job-answered')) {
    const { kind, jobId } = event;
    if (kind === null || answers[kind].execution !== 'not-run') continue;
    const taskRuns = taskRunsByJob.get(jobId) ?? [];
    if (taskRuns.length === 0) continue;
    const message = `Job ${jobId} was answered ${kind}, which means not run, but ran.`;
    violations.push({ promise: 4, message, events: [...taskRuns, event] });
  }
  return violations;
};
