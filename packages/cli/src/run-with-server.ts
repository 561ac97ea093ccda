import type { Result } from 'true-myth/result';
import type { CallFailure } from './call-failure.js';
import { createCallFailure } from './create-call-failure.js';
import type { CommandIo } from './command-io.js';
import { printFailure } from './print-failure.js';
import { ServerClient } from './server-client.js';

interface ServerArguments {
  server: string | undefined;
  token: string | undefined;
  json: boolean;
}

/** Runs the work of a command with a client of its server, prints a failure and returns the exit code. */
export async function runWithServer(
  io: CommandIo,
  { server, token, json }: ServerArguments,
  work: (client: ServerClient) => Promise<Result<number, CallFailure>>,
): Promise<number> {
  if (server === undefined) {
    const message = 'no server; give --server http://ip:port or set ACACIAHOIST_SERVER';
    return printFailure(io, createCallFailure('bad-request', message), json);
  }
  const client = ServerClient.create(server, token ?? '');
  try {
    const result = await work(client);
    return result.isOk ? result.value : printFailure(io, result.error, json);
  } finally {
    await client.close();
  }
}
