import type { RunnerReply } from '@acaciahoist/types/runner-reply';

/** Former incarnations kept for each runner; late replies are seldom older. */
const MAX_FORMER_INCARNATIONS = 4;

/** Accepts only complete replies to the request that was sent, from the runner's present incarnation. */
export class ReplyMatcher {
  static create(): ReplyMatcher {
    return new ReplyMatcher();
  }

  /** Incarnations by runner, the present one first. */
  private readonly incarnations = new Map<string, string[]>();

  private constructor() {
    // Created empty.
  }

  /** Undefined for a reply that may be passed on. */
  findFault(
    runner: string,
    requestId: string,
    reply: RunnerReply,
  ): 'foreign' | 'broken' | undefined {
    if (reply.requestId !== requestId) return 'foreign';
    if (this.isFormerIncarnation(runner, reply.incarnation)) return 'foreign';
    const isStatus = Number.isInteger(reply.status) && reply.status >= 200 && reply.status < 600;
    if (!isStatus || !(reply.body instanceof Uint8Array)) return 'broken';
    return undefined;
  }

  private isFormerIncarnation(runner: string, incarnation: string): boolean {
    const known = this.incarnations.get(runner) ?? [];
    const index = known.indexOf(incarnation);
    if (index > 0) return true;
    if (index < 0)
      this.incarnations.set(runner, [incarnation, ...known].slice(0, MAX_FORMER_INCARNATIONS + 1));
    return false;
  }
}
