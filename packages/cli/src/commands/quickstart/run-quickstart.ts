import { reportText } from '@acaciahoist/account/report-text';
import { parseReport } from '@acaciahoist/account/parse-report';
import { periodName } from '@acaciahoist/account/period-name';
import { EmbeddedCell } from '@acaciahoist/entry/embedded-cell';
import type { JobStatus } from '@acaciahoist/types/job-status';
import type { CommandIo } from '../../command-io.js';
import { sampleDeclaration } from './sample-declaration.js';
import { sampleJobs } from './sample-jobs.js';

const STEP_MS = 20_000;
const LOOKUPS = 50;

interface Submitted {
  title: string;
  jobId: string;
  expected: string;
}

/** Runs the whole path on embedded stand-ins. Returns 0 when each piece of work has the expected outcome. */
export async function runQuickstart(io: CommandIo, options: { verbose: boolean }): Promise<number> {
  const say = (line: string): void => {
    io.print(`${line}\n`);
  };
  say('Starting three entry processes and a simulated platform in this process.');
  const cell = await EmbeddedCell.create({
    dataCentres: { 'north-1': 1, 'north-2': 1, 'north-3': 1 },
    users: ['capsula', 'luz-norte'],
    standIn: {
      workers: { count: 9, usageLagMs: 100 },
      runners: { count: 6, services: ['records', 'sealing'], serviceMs: { '*': 5 } },
    },
    ...(options.verbose
      ? {
          write: (line: string) => {
            io.print(line);
          },
        }
      : {}),
  });
  try {
    await startServices(cell, say);
    const faults = [...(await runRequests(cell, say)), ...(await runJobs(cell, io, say))];
    await printAccount(cell, io, say);
    for (const fault of faults) io.printError(`unexpected: ${fault}\n`);
    say(
      faults.length === 0
        ? 'Every job and request has exactly one outcome.'
        : 'Some outcomes are not as expected.',
    );
    return faults.length === 0 ? 0 : 1;
  } finally {
    say('Stopping without cutting off a request.');
    await cell.stop();
  }
}

type Say = (line: string) => void;

async function startServices(cell: EmbeddedCell, say: Say): Promise<void> {
  const published = await cell.call(0, 'POST', '/configuration', {
    baseRevision: 0,
    text: sampleDeclaration,
  });
  if (published.status !== 200)
    throw new Error(`the declaration was refused: ${JSON.stringify(published.body)}`);
  say('Declaration published as revision 1.');
  await cell.waitUntil(
    'owners of all partitions',
    () => cell.countOwnedPartitions().then((count) => count === 3),
    STEP_MS,
  );
  const began = (): readonly string[] =>
    cell.standIn.history.ofType('task-began').map(({ jobId }) => jobId);
  await cell.waitUntil('the declared services', () => began().length >= 6, STEP_MS);
  say('Services records and sealing run, each after what it depends on.');
}

async function runRequests(cell: EmbeddedCell, say: Say): Promise<string[]> {
  const faults: string[] = [];
  const lookups = await Promise.all(
    Array.from({ length: LOOKUPS }, (_, index) =>
      cell.call(index % 3, 'POST', '/services/records', { look: index }),
    ),
  );
  const answered = lookups.filter(({ status }) => status === 200).length;
  say(`${answered} of ${LOOKUPS} lookups answered by three processes.`);
  if (answered !== LOOKUPS) faults.push(`${LOOKUPS - answered} lookups were not answered`);
  const headers = { 'idempotency-key': 'sealing-1' };
  const sealings = [0, 2].map((index) =>
    cell.call(index, 'POST', '/services/sealing', { capsule: 1 }, headers),
  );
  const statuses = (await Promise.all(sealings)).map(({ status }) => status);
  const runs = cell.standIn.history
    .ofType('request-began')
    .filter(({ service }) => service === 'sealing').length;
  say(
    `One sealing sent twice with the same key to two processes: answers ${statuses.join(' and ')}, runs ${runs}.`,
  );
  if (runs !== 1 || statuses.some((status) => status !== 200))
    faults.push('the sealing did not run exactly once');
  return faults;
}

async function runJobs(cell: EmbeddedCell, io: CommandIo, say: Say): Promise<string[]> {
  const submitted: Submitted[] = [];
  for (const [index, { title, spec, expected, cancel }] of sampleJobs(
    io.clock.wallMs(),
  ).entries()) {
    const answer = await cell.call(index % 3, 'POST', '/jobs', spec);
    const jobId = findJobId(answer.body);
    submitted.push({ title, jobId, expected });
    say(`Submitted ${jobId}: ${title}`);
    if (cancel === true) await cell.call(2, 'DELETE', `/jobs/${encodeURIComponent(jobId)}`);
  }
  const faults: string[] = [];
  for (const job of submitted) {
    const status = await waitForEnd(cell, job.jobId);
    const waitMs =
      (status.startedAtMs ?? status.endedAtMs ?? 0) -
      Math.max(status.acceptedAtMs, status.spec.startAtMs ?? 0);
    say(
      `Ended ${job.jobId}: ${status.outcome ?? status.state}, waited ${Math.max(0, waitMs)} ms (${job.title})`,
    );
    if (status.outcome !== job.expected)
      faults.push(`${job.title}: ${status.outcome ?? status.state}`);
  }
  return faults;
}

/** A refused job is recorded too; its id stands in the details of the error. */
function findJobId(body: unknown): string {
  const { jobId, error } = body as { jobId?: string; error?: { details?: { jobId?: string } } };
  return jobId ?? error?.details?.jobId ?? '';
}

async function waitForEnd(cell: EmbeddedCell, jobId: string): Promise<JobStatus> {
  let status: JobStatus | undefined;
  await cell.waitUntil(
    `the end of ${jobId}`,
    async () => {
      const answer = await cell.call(1, 'GET', `/jobs/${encodeURIComponent(jobId)}`);
      if (answer.status !== 200) return false;
      status = answer.body as JobStatus;
      return status.outcome !== undefined;
    },
    STEP_MS,
  );
  if (status === undefined) throw new Error(`no status of ${jobId}`);
  return status;
}

async function printAccount(cell: EmbeddedCell, io: CommandIo, say: Say): Promise<void> {
  const period = periodName(io.clock.wallMs(), 'month');
  await cell.waitUntil('the counts of the lookups', async () => {
    const report = parseReport((await cell.call(0, 'GET', `/account?period=${period}`)).body);
    if (report.isErr) return false;
    const registry = report.value.rows.find(({ team }) => team === 'registry');
    return (registry?.counts.completed ?? 0) >= LOOKUPS;
  });
  const report = parseReport((await cell.call(0, 'GET', `/account?period=${period}`)).body);
  say('Account so far:');
  if (report.isOk) io.print(reportText(report.value));
  const oversold = cell.standIn.history.ofType('oversold').length;
  say(`Oversold workers or runners: ${oversold}`);
}
