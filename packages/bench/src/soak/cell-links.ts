import type { Clock } from '@acaciahoist/clock';
import { findFreePorts } from '@acaciahoist/entry/find-free-ports';
import { Link } from './link.js';

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
    const ports = await findFreePorts(pairs.length);
    const links = new CellLinks();
    for (const [pairIndex, [from, to, target]] of pairs.entries()) {
      const link = Link.create({ clock: options.clock, port: ports[pairIndex] ?? 0, target });
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
