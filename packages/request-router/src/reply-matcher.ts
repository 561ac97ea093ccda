import type { RunnerReply } from '@acaciahoist/types/runner-reply';

/** Former incarnations stored for each runner; a late reply is rarely from an older one. */
const MAX_FORMER_INCARNATIONS = 4;

/** Checks that a reply is complete, answers the request and is from the runner's current incarnation. */
export class ReplyMatcher {
  static create(): ReplyMatcher {
    return new ReplyMatcher();
  }

  /** Incarnations by runner, newest first. */
  private readonly incarnationsByRunner = new Map<string, string[]>();

  private constructor() {
    // Private: instances come from create().
  }

  /**
   * Returns undefined for a valid reply, `foreign` for one with another request id or from a former
   * incarnation of the runner, and `broken` for one with a malformed status or body. An incarnation that
   * was not seen before becomes the current one of the runner.
   */
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

  /** Whether the incarnation is a former one. Records an incarnation that was not seen before as the current one. */
  private isFormerIncarnation(runner: string, incarnation: string): boolean {
    const knownIncarnations = this.incarnationsByRunner.get(runner) ?? [];
    const index = knownIncarnations.indexOf(incarnation);
    if (index > 0) return true;
    if (index < 0)
      this.incarnationsByRunner.set(
        runner,
        [incarnation, ...knownIncarnations].slice(0, MAX_FORMER_INCARNATIONS + 1),
      );
    return false;
  }
}
