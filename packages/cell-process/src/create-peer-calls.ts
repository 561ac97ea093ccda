import type { Clock } from '@acaciahoist/clock';
import { PeerClient } from '@acaciahoist/peer-socket';
import { PeerServer } from '@acaciahoist/peer-socket/peer-server';
import type { EventLog } from '@acaciahoist/types/event-log';
import type { ProcessIdentity } from '@acaciahoist/types/process-identity';
import type { PeerCalls } from './peer-calls.js';

/**
 * Probe interval and timeouts of connections between the processes, in ms. A connection with an unanswered
 * call is probed at once; idle connections are probed rarely, since most processes keep several of them.
 */
const CONNECTION_TIMINGS = { probeMs: 5_000, probeTimeoutMs: 700, connectTimeoutMs: 700 } as const;
/** Maximum number of connections that a process accepts from others at a time. */
const MAX_CONNECTIONS = 256;

/** Creates peer calls that go over persistent WebSocket connections. */
export function createPeerCalls(options: {
  clock: Clock;
  log: EventLog;
  identity: ProcessIdentity;
}): PeerCalls {
  const { clock, log, identity } = options;
  let handleRefused: (address: string) => void = () => undefined;
  const client = PeerClient.create({
    clock,
    identity,
    ...CONNECTION_TIMINGS,
    onRefused: (address) => {
      handleRefused(address);
    },
  });
  return {
    start: (handle, onRefused) => {
      handleRefused = onRefused;
      return PeerServer.create({
        identity,
        listen: identity.process,
        maxConnections: MAX_CONNECTIONS,
        handle,
        onMalformedFrame: (message) => {
          log('warn', 'peer-frame-refused', { message });
        },
      }).start();
    },
    call: (address, type, body, timeoutMs) => client.call(address, type, body, timeoutMs),
    stop: () => {
      client.stop();
    },
    describe: () => client.describe(),
  };
}
