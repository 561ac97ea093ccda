import { randomInt } from 'node:crypto';
import type { Clock } from '@acaciahoist/clock';
import { Link } from './link.js';

/** Below the default range of ports for outgoing connections of Linux. */
const FIRST_PORT = 20_000;

interface Options {
  clock: Clock;
  processAddresses: readonly { listen: string; address: string }[];
  platform: Readonly<Record<'log' | 'vmList', string>>;
}

/** One end of a link: the index of a process, or a part of the environment. */
type LinkEnd = number | 'callers' | 'log' | 'vmList';

/** The links between the processes of a cell, to the platform, and from the callers. */
export class CellLinks {
  static async create(options: Options): Promise<CellLinks> {
    const indexes = [...options.processAddresses.keys()];
    const pairs = indexes.flatMap((from): [LinkEnd, LinkEnd, string][] => [
      ['callers', from, options.processAddresses[from]?.listen ?? ''],
      [from, 'log', options.platform.log],
      [from, 'vmList', options.platform.vmList],
      ...indexes
        .filter((to) => to !== from)
        .map((to): [LinkEnd, LinkEnd, string] => [
          from,
          to,
          options.processAddresses[to]?.address ?? '',
        ]),
    ]);
    // A loopback address of its own: a link to an ended process does not listen, and another run must not
    // take its port meanwhile.
    const host = ['127', randomInt(1, 255), randomInt(255), randomInt(1, 255)].join('.');
    const links = new CellLinks();
    for (const [pairIndex, [from, to, target]] of pairs.entries()) {
      const link = Link.create({
        clock: options.clock,
        host,
        port: FIRST_PORT + pairIndex,
        target,
      });
      links.links.push({ from, to, target, link });
      if (typeof to === 'string') await link.open();
    }
    return links;
  }

  private readonly links: { from: LinkEnd; to: LinkEnd; target: string; link: Link }[] = [];

  find(from: LinkEnd, to: LinkEnd): Link {
    const found = this.links.find((candidate) => candidate.from === from && candidate.to === to);
    if (found === undefined) throw new Error(`there is no link from ${from} to ${to}`);
    return found.link;
  }

  /** Address of the link by the address to which the process connects. */
  addressesFor(process: number): Readonly<Record<string, string>> {
    return Object.fromEntries(
      this.links
        .filter(({ from }) => from === process)
        .map(({ target, link }) => [target, link.address]),
    );
  }

  /** Accepts connections to the process. */
  async openTo(process: number): Promise<void> {
    await Promise.all(this.listTo(process).map((link) => link.open()));
  }

  /** Refuses connections to the process, which has exited. */
  refuseTo(process: number): void {
    for (const link of this.listTo(process)) link.refuse();
  }

  close(): void {
    for (const { link } of this.links) link.close();
  }

  private listTo(process: number): readonly Link[] {
    return this.links.filter(({ to }) => to === process).map(({ link }) => link);
  }
}
