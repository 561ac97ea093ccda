import { createServer } from 'node:net';

/** The ports lie below the range from which Linux takes the ports of outgoing connections. */
const FIRST_PORT = 20_000;
const PORT_COUNT = 12_000;
const MAX_TRIES = 1_000;

/** Finds free TCP ports of 127.0.0.1 at random, so that test runs on one machine do not collide. */
export async function findFreePorts(count: number): Promise<readonly number[]> {
  const ports = new Set<number>();
  for (let tries = 0; ports.size < count; tries += 1) {
    if (tries > MAX_TRIES) throw new Error('too few free ports on 127.0.0.1');
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
