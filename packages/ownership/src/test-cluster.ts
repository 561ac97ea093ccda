import { ManualClock } from '@acaciahoist/clock/manual-clock';
import { advance } from '@acaciahoist/group-commit/advance';
import { FakeLog } from '@acaciahoist/group-commit/fake-log';
import { Journal } from '@acaciahoist/journal';
import { packer } from '@acaciahoist/journal/packer';
import { saveState } from '@acaciahoist/journal/save-state';
import type { JournalEntry } from '@acaciahoist/types/journal-entry';
import { Ownership } from './ownership.js';
import type { OwnershipOptions } from './ownership-options.js';
import { TestProcess } from './test-process.js';

/** One process of a test cluster. */
interface Member {
  name: string;
  process: TestProcess;
  owner: Ownership;
  isReachable: boolean;
  /** Faults of the calls of this process only. */
  fault?: FakeLog['fault'];
}

/** Several processes that compete for one partition over a fake log, with checks of their history. */
export class TestCluster {
  static create(retentionMs = 600_000): TestCluster {
    return new TestCluster(retentionMs);
  }

  readonly clock = ManualClock.create();
  readonly log: FakeLog;
  readonly members: Member[] = [];
  /** Result of each commit by key: `pending`, `crashed`, `durable` or the kind of the failure. */
  readonly results = new Map<string, string>();
  /** Largest number of processes that had the authority `leased` at the same instant. */
  maxLeasedAtOnce = 0;
  /** Number of processes whose final state `findViolations` compared. */
  comparedReaders = 0;

  /** Tokens that the owners had after any step, and -1 for a process without a token. */
  readonly tokens = new Set<number>();

  private constructor(private readonly retentionMs: number) {
    this.log = FakeLog.create(this.clock, retentionMs);
  }

  /** Starts a process that follows the partition. `rate` is the rate of its clock. */
  start(name: string, rate = 1, options: Partial<OwnershipOptions> = {}): Member {
    const process = TestProcess.create(this.clock, rate);
    const member: Member = { name, process, isReachable: true, owner: undefined as never };
    member.owner = Ownership.create({
      partition: 'a.0',
      identity: {
        process: name,
        incarnation: `${name}-${this.clock.monotonicMs()}`,
        dataCentre: 'a',
      },
      clock: process.clock,
      log: process.connect(
        {
          append: (data, timeoutMs) => this.log.append(data, timeoutMs, member.fault?.('append')),
          read: (from, waitMs) => this.log.read(from, waitMs, member.fault?.('read')),
        },
        () => member.isReachable,
      ),
      leaseMs: 2_500,
      holdMs: 3_600_000,
      renewMs: 800,
      commitIntervalMs: () => 5,
      retentionMs: this.retentionMs,
      ...options,
    });
    void member.owner.follow();
    this.members.push(member);
    return member;
  }

  /** Starts a process and makes it the owner. */
  async startOwner(
    name: string,
    rate = 1,
    options: Partial<OwnershipOptions> = {},
  ): Promise<Member> {
    const member = this.start(name, rate, options);
    void member.owner.claim();
    await this.advanceTime(100);
    return member;
  }

  /** Commits one entry with a new key and stores the result that the caller receives. */
  commit(member: Member): string {
    const key = `${member.name}-${this.results.size}`;
    this.results.set(key, 'pending');
    const atMs = this.clock.wallMs();
    const request = { requestDigest: 'd', service: 's', user: 'u', team: 't' };
    const entry: JournalEntry = { type: 'key-claimed', key, ...request, atMs };
    void member.owner.commit([entry]).then((outcome) => {
      this.results.set(key, outcome.isOk ? 'durable' : outcome.error.kind);
    });
    return key;
  }

  commitEverywhere(): void {
    for (const member of this.members) if (!member.process.isPaused()) this.commit(member);
  }

  claimEverywhere(): void {
    for (const { process, owner } of this.members) if (!process.isPaused()) void owner.claim();
  }

  /** Stops a process permanently, with its outstanding calls, and starts another in its place. */
  crash(index: number): void {
    const crashed = this.members[index];
    if (crashed === undefined) return;
    crashed.process.pause();
    for (const [key, result] of this.results) {
      if (result === 'pending' && key.startsWith(`${crashed.name}-`))
        this.results.set(key, 'crashed');
    }
    this.members[index] = this.start(`${crashed.name}'`);
    this.members.pop();
  }

  /** Advances the clock and checks the authorities after each step. */
  async advanceTime(ms: number, stepMs = 10): Promise<void> {
    await advance(this.clock, ms, stepMs, () => {
      const leased = this.members.filter(({ owner }) => owner.authority() === 'leased').length;
      this.maxLeasedAtOnce = Math.max(this.maxLeasedAtOnce, leased);
      for (const { owner } of this.members) this.tokens.add(owner.token() ?? -1);
    });
  }

  /** Removes all faults, lets every process read to the end, and returns each broken guarantee. */
  async findViolations(): Promise<string[]> {
    this.log.fault = () => ({ type: 'none', latencyMs: 1 });
    for (const member of this.members) {
      member.isReachable = true;
      member.process.resume();
    }
    await this.advanceTime(30_000);
    for (const { owner } of this.members) owner.close();
    const violations =
      this.maxLeasedAtOnce > 1 ? [`${this.maxLeasedAtOnce} processes were leased at once`] : [];
    const journal = Journal.create('a.0');
    const appliedKeys: string[] = [];
    for (const record of this.log.records) {
      const verdict = journal.apply(record);
      if (verdict.type !== 'applied' || verdict.record.type !== 'commit') continue;
      for (const entry of verdict.record.entries) if ('key' in entry) appliedKeys.push(entry.key);
    }
    if (new Set(appliedKeys).size !== appliedKeys.length)
      violations.push('an entry was applied twice');
    for (const [key, result] of this.results) {
      const isApplied = appliedKeys.includes(key);
      if (result === 'durable' && !isApplied) violations.push(`acknowledged entry ${key} is lost`);
      const isNotAppended = result === 'log-unavailable' || result === 'not-owner';
      if (isNotAppended && isApplied)
        violations.push(`entry ${key} was reported as not appended and is in the journal`);
      if (result === 'pending') violations.push(`commit ${key} has no result`);
    }
    return [...violations, ...this.findDifferentStates(journal)];
  }

  /** Processes that read every record and those that started from a snapshot must have the same state. */
  private findDifferentStates(journal: Journal): string[] {
    const expected = packer.pack(saveState(journal.state()));
    const violations: string[] = [];
    for (const { name, owner } of this.members) {
      const { nextOffset, hasState } = owner.describe();
      // A process has no state when the partition had no owner for the whole retention time, as no
      // snapshot is then retained.
      if (nextOffset !== this.log.records.length || hasState !== true) continue;
      this.comparedReaders += 1;
      const actual = packer.pack(saveState(owner.state()));
      if (!expected.equals(actual))
        violations.push(
          `the state of process ${name} differs from that of a reader of every record`,
        );
    }
    return violations;
  }
}
