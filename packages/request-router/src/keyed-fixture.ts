import { err, ok } from 'true-myth/result';
import type { Result } from 'true-myth/result';
import { ManualClock } from '@acaciahoist/clock/manual-clock';
import { Failure } from '@acaciahoist/errors';
import { answers } from '@acaciahoist/errors/answers';
import type { RunnerReply } from '@acaciahoist/types/runner-reply';
import type { RunnerRequest } from '@acaciahoist/types/runner-request';
import type { KeyOutcome } from './key-outcome.js';
import type { KeyedReply } from './keyed-reply.js';
import { KeyedRequests } from './keyed-requests.js';
import type { KeyRecord } from './key-record.js';
import type { OwnerFaultPlan } from './owner-fault-plan.js';
import { RunnerHealth } from './runner-health.js';

/**
 * Simulates the journal, which persists when its owners crash, and the runners, which cannot be fenced and
 * therefore accept requests of former owners. Collects violations of the rules for keyed requests.
 */
export class KeyedFixture {
  readonly clock = ManualClock.create();
  readonly journal = new Map<string, KeyRecord>();
  /** Bodies of the requests that runners have started, in order. */
  readonly startedBodies: string[] = [];
  readonly violations: string[] = [];
  private newestOwnerNumber = 0;
  private writeCount = 0;

  /** Creates the next owner of the key. Former owners continue to run unless the test stops them. */
  createOwner(plan: OwnerFaultPlan): {
    keyed: KeyedRequests;
    state: { isAlive: boolean; isLeased: boolean };
  } {
    this.newestOwnerNumber += 1;
    const ownerNumber = this.newestOwnerNumber;
    const state = { isAlive: true, isLeased: true };
    const { clock } = this;
    let nextGrantNumber = 0;
    const never = <T>(): Promise<T> => new Promise<T>(() => undefined);
    // The journal ignores records of former owners; a crashed process receives no reply.
    const write = (change: () => void): Promise<Result<void, Failure>> => {
      const fault = state.isAlive ? (plan.appends.shift() ?? 'ok') : 'never';
      if (fault === 'never') return never();
      const isValid = ownerNumber === this.newestOwnerNumber && state.isLeased;
      if (isValid && (fault === 'ok' || fault === 'unknown-done')) change();
      this.writeCount += 1;
      const writeNumber = this.writeCount;
      if (fault === 'unknown-late') {
        // The journal ignores a record that arrives after a later record of the same owner.
        clock.after(60, () => {
          if (ownerNumber === this.newestOwnerNumber && writeNumber === this.writeCount) change();
        });
      }
      return this.resolveAfter(state, 10, () => {
        if (fault === 'refused') return err(Failure.create('log-unavailable', 'not appended'));
        if (fault !== 'ok' || !isValid) return err(Failure.create('append-unknown', 'no reply'));
        return ok(undefined as never);
      });
    };
    const keyed = KeyedRequests.create({
      clock,
      holder: `p${ownerNumber}`,
      createId: () => `g${ownerNumber}.${nextGrantNumber++}`,
      health: RunnerHealth.create({ clock, random: () => 0, listRunners: () => ['a', 'b', 'c'] }),
      findKey: (key) => this.journal.get(key),
      claimKey: ({ key, requestDigest }) =>
        write(() => this.journal.set(key, { requestDigest, done: undefined })),
      recordOutcome: (outcome) =>
        write(() => {
          this.recordOutcome(outcome);
        }),
      isLeased: () => state.isLeased,
      acquire: (request) => {
        const fault = plan.slots.shift() ?? 'ok';
        if (fault === 'never') return never();
        const runner = ['a', 'b', 'c'].find((name) => !request.exclude.includes(name));
        const { grantId, deadlineMs } = request;
        return this.resolveAfter(state, 3, () =>
          fault === 'ok' && runner !== undefined
            ? ok({ grantId, runner, token: ownerNumber, deadlineMs })
            : err(Failure.create('overloaded', 'no slot')),
        );
      },
      release: () => undefined,
      send: (_, request) => this.send(state, plan.sends.shift() ?? 'reply', request),
    });
    return { keyed, state };
  }

  /** Records `unknown` for open claims: the journal does not show whether their requests were sent. */
  closeClaims(openKeys: readonly string[]): void {
    for (const key of openKeys) this.recordOutcome({ key, outcome: 'unknown', reply: null });
  }

  /** Checks that a failure "not run" is true and that a reply is recorded and belongs to the body. */
  checkAnswer(answer: Result<KeyedReply, Failure>, body: string): void {
    if (answer.isErr) {
      const { kind } = answer.error;
      if (kind === 'key-conflict') return;
      const hasStarted = this.startedBodies.includes(body);
      if (answers[kind].execution === 'not-run' && hasStarted)
        this.violations.push(`the request ${body} ran, but the answer was ${kind}`);
      return;
    }
    const done = this.journal.get('key')?.done;
    if (done?.reply?.bodyDigest !== answer.value.reply.bodyDigest) {
      this.violations.push('the reply was returned before it was recorded');
    }
    const text = new TextDecoder().decode(answer.value.reply.body ?? new Uint8Array());
    if (text !== `done ${body}`) this.violations.push(`the request ${body} got the reply ${text}`);
  }

  private recordOutcome({ key, outcome, reply }: KeyOutcome): void {
    const recordedKey = this.journal.get(key);
    // Only the first recorded outcome takes effect.
    if (recordedKey !== undefined && recordedKey.done === undefined) {
      this.journal.set(key, { ...recordedKey, done: { outcome, reply } });
    }
  }

  private resolveAfter<T>(state: { isAlive: boolean }, delayMs: number, run: () => T): Promise<T> {
    return new Promise((resolve) => {
      this.clock.after(delayMs, () => {
        if (state.isAlive) resolve(run());
      });
    });
  }

  private send(
    state: { isAlive: boolean },
    fault: OwnerFaultPlan['sends'][number],
    request: RunnerRequest,
  ): Promise<Result<RunnerReply, Failure>> {
    const body = new TextDecoder().decode(request.body);
    const { requestId } = request;
    if (!state.isAlive) return new Promise(() => undefined);
    if (fault === 'unsent') {
      const failure = Failure.create('endpoint-failed', 'refused', { sent: false });
      return this.resolveAfter(state, 2, () => err(failure));
    }
    const recordStart = (): void => {
      this.startedBodies.push(body);
    };
    // `delayed`: the process is paused between check and send until a successor owns the key.
    if (fault === 'delayed') this.clock.after(700, recordStart);
    else recordStart();
    const waitMs = { delayed: 720, hang: 100_000 }[fault as string] ?? 15;
    return this.resolveAfter(state, waitMs, () => {
      if (fault === 'cut') return err(Failure.create('outcome-unknown', 'cut off'));
      const status = fault === 'error-status' ? 500 : 200;
      const reply = new TextEncoder().encode(`done ${body}`);
      const replyBody = fault === 'broken' ? (undefined as unknown as Uint8Array) : reply;
      return ok({
        requestId,
        incarnation: 'i',
        status,
        contentType: 'text/plain',
        body: replyBody,
      });
    });
  }
}
