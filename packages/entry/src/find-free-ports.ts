import { createServer } from 'node:net';

/** The ports are below 32768, where Linux's default range of ports for outgoing connections begins. */
const FIRST_PORT = 20_000;
const PORT_COUNT = 12_000;
const MAX_TRIES = 1_000;

/** Finds free TCP ports of 127.0.0.1 at random, so that test runs on one machine do not collide. */
export async function findFreePorts(count: number): Promise<readonly number[]> {
  const ports = new Set<number>();
  for (let tries = 0; ports.size < count; tries += 1) {
    if (tries > MAX_TRIES)
      throw new Error(`found ${ports.size} of ${count} free ports on 127.0.0.1 in ${tries} tries`);
    const port = FIRST_PORT + Math.floor(Math.random() * PORT_COUNT);
    if (await isFree(port)) ports.add(port);
  }
  return [...ports];
}

function isFree(port: number): Promise<boolean> {
  const server = createServer();
  return new Promise((resolve) => {
    server.once('error', () => {
      resolve(false);
    });
    server.listen(port, '127.0.0.1', () => {
      server.close(() => {
        resolve(true);
      });
    });
  });
}
