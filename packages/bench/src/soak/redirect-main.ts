import { Socket } from 'node:net';

/** An argument list of `Socket.prototype.connect` that `net.connect` has normalized. */
type NormalizedArguments = [options: { host?: string; port?: number | string }, ...rest: unknown[]];

// Loaded before the program of an entry process: connects it through the links of its cell, which
// ACACIAHOIST_LINKS lists by the address that the program uses.
const links = JSON.parse(process.env.ACACIAHOIST_LINKS ?? '{}') as Record<string, string>;
const connectDirectly = Reflect.get(Socket.prototype, 'connect') as (
  ...values: unknown[]
) => unknown;

// The channel ends with the soak, also when that is killed and cannot end its processes.
process.on('disconnect', () => process.exit(1));
process.channel?.unref();

Reflect.set(Socket.prototype, 'connect', function (this: Socket, ...values: unknown[]) {
  if (Array.isArray(values[0])) {
    const normalized = values[0] as NormalizedArguments;
    const [host, port] =
      links[`${normalized[0].host ?? ''}:${normalized[0].port ?? ''}`]?.split(':') ?? [];
    // The array itself is marked as normalized, so it is kept.
    if (host !== undefined && port !== undefined)
      normalized[0] = { ...normalized[0], host, port: Number(port) };
  }
  return connectDirectly.apply(this, values);
});
