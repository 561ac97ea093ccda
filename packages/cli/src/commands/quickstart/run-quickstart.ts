import { reportText } from '@acaciahoist/account/report-text';
import { parseReport } from '@acaciahoist/account/parse-report';
import { periodName } from '@acaciahoist/account/period-name';
import { EmbeddedCell } from '@acaciahoist/entry/embedded-cell';
import type { JobStatus } from '@acaciahoist/types/job-status';
import type { CommandIo } from '../../command-io.js';
import { sampleDeclaration } from './sample-declaration.js';
import { createSampleJobs } from './create-sample-jobs.js';

/** Longest wait for one step of the quickstart. */
const STEP_TIMEOUT_MS = 20_000;
/** Numbers of partitions and of service instances in the sample declaration. */
const PARTITION_COUNT = 3;
const INSTANCE_COUNT = 6;
const LOOKUP_COUNT = 50;

interface SubmittedJob {
  title: string;
  jobId: string;
  expected: string;
}

/**
 * Runs a cell in this process with a simulated platform, from the declaration to the account. Returns 0 when
 * every job and request has the expected outcome, otherwise 1.
 */
export async function runQuickstart(io: CommandIo, options: { verbose: boolean }): Promise<number> {
  const printLine = (line: string): void => {
    io.print(`${line}\n`);
  };
  printLine('Starting three entry processes and a simulated platform in this process.');
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
    await startServices(cell, printLine);
    const failedChecks = [
      ...(await runRequests(cell, printLine)),
      ...(await runJobs(cell, io, printLine)),
    ];
    await printAccount(cell, io, printLine);
    for (const failedCheck of failedChecks) io.printError(`unexpected: ${failedCheck}\n`);
    printLine(
      failedChecks.length === 0
        ? 'Every job and request has exactly one outcome.'
        : 'Some outcomes are not as expected.',
    );
    return failedChecks.length === 0 ? 0 : 1;
  } finally {
    printLine('Stopping after the outstanding requests are answered.');
    await cell.stop();
  }
}

type LinePrinter = (line: string) => void;

async function startServices(cell: EmbeddedCell, printLine: LinePrinter): Promise<void> {
  const published = await cell.call(0, 'POST', '/configuration', {
    baseRevision: 0,
    text: sampleDeclaration,
  });
  if (published.status !== 200)
    throw new Error(`the declaration was refused: ${JSON.stringify(published.body)}`);
  printLine('Declaration published as revision 1.');
  await cell.waitUntil(
    'the claim of every partition by an owner',
    () => cell.countOwnedPartitions().then((count) => count === PARTITION_COUNT),
    STEP_TIMEOUT_MS,
  );
  const listStartedJobs = (): readonly string[] =>
    cell.standIn.history.ofType('task-began').map(({ jobId }) => jobId);
  await cell.waitUntil(
    'the start of the declared services',
    () => listStartedJobs().length >= INSTANCE_COUNT,
    STEP_TIMEOUT_MS,
  );
  printLine(
    'The services records and sealing run; each was started after the services that it depends on.',
  );
}

async function runRequests(cell: EmbeddedCell, printLine: LinePrinter): Promise<string[]> {
  const failedChecks: string[] = [];
  const lookups = await Promise.all(
    Array.from({ length: LOOKUP_COUNT }, (_, index) =>
      cell.call(index % 3, 'POST', '/services/records', { look: index }),
    ),
  );
  const answered = lookups.filter(({ status }) => status === 200).length;
  printLine(`${answered} of ${LOOKUP_COUNT} lookups were answered by three processes.`);
  if (answered !== LOOKUP_COUNT)
    failedChecks.push(`${LOOKUP_COUNT - answered} lookups were not answered`);
  const headers = { 'idempotency-key': 'sealing-1' };
  const sealings = [0, 2].map((index) =>
    cell.call(index, 'POST', '/services/sealing', { capsule: 1 }, headers),
  );
  const statuses = (await Promise.all(sealings)).map(({ status }) => status);
  const runs = cell.standIn.history
    .ofType('request-began')
    .filter(({ service }) => service === 'sealing').length;
  printLine(
    `One sealing was sent with the same key to two processes: statuses ${statuses.join(' and ')}, runs ${runs}.`,
  );
  if (runs !== 1 || statuses.some((status) => status !== 200))
    failedChecks.push('the sealing did not run exactly once');
  return failedChecks;
}

async function runJobs(
  cell: EmbeddedCell,
  io: CommandIo,
  printLine: LinePrinter,
): Promise<string[]> {
  const submittedJobs: SubmittedJob[] = [];
  for (const [index, { title, spec, expected, cancel }] of createSampleJobs(
    io.clock.wallMs(),
  ).entries()) {
    const response = await cell.call(index % 3, 'POST', '/jobs', spec);
    const jobId = findJobId(response.body);
    submittedJobs.push({ title, jobId, expected });
    printLine(`Submitted ${jobId}: ${title}`);
    if (cancel === true) await cell.call(2, 'DELETE', `/jobs/${encodeURIComponent(jobId)}`);
  }
  const failedChecks: string[] = [];
  for (const job of submittedJobs) {
    const status = await waitForEnd(cell, job.jobId);
    const waitMs =
      (status.startedAtMs ?? status.endedAtMs ?? 0) -
      Math.max(status.acceptedAtMs, status.spec.startAtMs ?? 0);
    printLine(
      `Ended ${job.jobId}: ${status.outcome ?? status.state}, waited ${Math.max(0, waitMs)} ms (${job.title})`,
    );
    if (status.outcome !== job.expected)
      failedChecks.push(`${job.title}: ${status.outcome ?? status.state}`);
  }
  return failedChecks;
}

/** Finds the job id in a response body. A refused job is recorded too; its id is in the error details. */
function findJobId(body: unknown): string {
  const { jobId, error } = body as { jobId?: string; error?: { details?: { jobId?: string } } };
  return jobId ?? error?.details?.jobId ?? '';
}

async function waitForEnd(cell: EmbeddedCell, jobId: string): Promise<JobStatus> {
  let status: JobStatus | undefined;
  await cell.waitUntil(
    `the end of ${jobId}`,
    async () => {
      const response = await cell.call(1, 'GET', `/jobs/${encodeURIComponent(jobId)}`);
      if (response.status !== 200) return false;
      status = response.body as JobStatus;
      return status.outcome !== undefined;
    },
    STEP_TIMEOUT_MS,
  );
  if (status === undefined) throw new Error(`no status of ${jobId}`);
  return status;
}

async function printAccount(
  cell: EmbeddedCell,
  io: CommandIo,
  printLine: LinePrinter,
): Promise<void> {
  const period = periodName(io.clock.wallMs(), 'month');
  await cell.waitUntil('the entry of the lookups in the account', async () => {
    const report = parseReport((await cell.call(0, 'GET', `/account?period=${period}`)).body);
    if (report.isErr) return false;
    const registry = report.value.rows.find(({ team }) => team === 'registry');
    return (registry?.counts.completed ?? 0) >= LOOKUP_COUNT;
  });
  const report = parseReport((await cell.call(0, 'GET', `/account?period=${period}`)).body);
  printLine('Account so far:');
  if (report.isOk) io.print(reportText(report.value));
  const oversold = cell.standIn.history.ofType('oversold').length;
  printLine(`Oversold workers or runners: ${oversold}`);
}
