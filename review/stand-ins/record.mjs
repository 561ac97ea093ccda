// Writes what was sent, answered and run to record.txt in the folder of a case.
import { writeFileSync } from 'node:fs';
import { join } from 'node:path';

/** Collects lines with the time since the start, in seconds. */
export class Record {
  lines = [];
  startedAt = performance.now();

  add = (text) => {
    const seconds = ((performance.now() - this.startedAt) / 1000).toFixed(3);
    this.lines.push(`${seconds} ${text}`);
  };

  write(folder) {
    writeFileSync(join(folder, 'record.txt'), `${this.lines.join('\n')}\n`);
  }
}

/** Runs a case, writes its record and exits: 1 if the rule was broken, 0 if it held, 2 if it could not run. */
export async function runCase(folder, run) {
  const record = new Record();
  const stops = [];
  let code = 2;
  let verdict;
  try {
    const problems = await run({ add: record.add, onStop: (stop) => stops.push(stop) });
    for (const problem of problems) record.add(`BROKEN ${problem}`);
    verdict =
      problems.length === 0 ? 'the rule held' : `the rule was broken ${problems.length} times`;
    code = problems.length === 0 ? 0 : 1;
  } catch (error) {
    verdict = `the case could not run: ${error.stack}`;
  }
  for (const stop of stops.reverse()) await stop();
  record.add(verdict);
  record.write(folder);
  console.log(verdict);
  process.exit(code);
}
