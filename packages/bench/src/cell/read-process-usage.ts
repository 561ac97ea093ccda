import { readFile } from 'node:fs/promises';

/** Unit of the times in /proc/<pid>/stat; Linux reports 100 ticks a second on all platforms. */
const TICKS_PER_SECOND = 100;

interface Usage {
  cpuMs: number;
  /** Bytes read and written by system calls, on sockets and for log lines. */
  readBytes: number;
  writtenBytes: number;
  rssMib: number;
}

/** Reads from /proc the processor time and bytes of a process since its start, and its memory. */
export async function readProcessUsage(pid: number): Promise<Usage> {
  const [stat, io, status] = await Promise.all(
    ['stat', 'io', 'status'].map((name) => readFile(`/proc/${pid}/${name}`, 'utf8')),
  );
  // Field 2, the name in parentheses, may contain spaces, so `fields` begins with field 3. Fields 14 and 15
  // are the user and the system time.
  const fields = (stat ?? '').slice((stat ?? '').lastIndexOf(')') + 2).split(' ');
  const ticks = Number(fields[11]) + Number(fields[12]);
  return {
    cpuMs: (ticks * 1_000) / TICKS_PER_SECOND,
    readBytes: readNumber(io, /rchar: (\d+)/),
    writtenBytes: readNumber(io, /wchar: (\d+)/),
    rssMib: readNumber(status, /VmRSS:\s+(\d+)/) / 1_024,
  };
}

function readNumber(text: string | undefined, pattern: RegExp): number {
  const digits = pattern.exec(text ?? '')?.[1];
  if (digits === undefined)
    throw new Error(`no value for ${String(pattern)} in /proc: ${text ?? 'not read'}`);
  return Number(digits);
}
