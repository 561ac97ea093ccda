import Result from 'true-myth/result';
import { periodBounds } from '@acaciahoist/account/period-bounds';
import { reportJson } from '@acaciahoist/account/report-json';
import { scopeReport } from '@acaciahoist/account/scope-report';
import { parseDeclaration } from '@acaciahoist/declaration';
import { checkLayoutChange } from '@acaciahoist/declaration/check-layout-change';
import { formatFault } from '@acaciahoist/declaration/format-fault';
import { Failure } from '@acaciahoist/errors';
import { ErrorKind } from '@acaciahoist/errors/error-kind';
import type { ConfigurationFollower } from '@acaciahoist/ownership/configuration-follower';
import type { PartitionAccount } from '@acaciahoist/types/partition-account';
import type { EntryContext } from './entry-context.js';
import type { OwnerCaller } from './owner-caller.js';
import type { PartitionSet } from './partition-set.js';
import { buildReport } from './build-report.js';

const ACCOUNT_CALL_TIMEOUT_MS = 5_000;

interface Options {
  context: EntryContext;
  configuration: ConfigurationFollower;
  partitions: PartitionSet;
  ownerCaller: OwnerCaller;
  describe: () => Record<string, unknown>;
}

/** Answers the calls of operators: health, configuration, account and state dump. */
export class OperatorService {
  static create(options: Options): OperatorService {
    return new OperatorService(options);
  }

  private constructor(private readonly options: Options) {}

  describeHealth(): Record<string, unknown> {
    const { configuration, context, partitions } = this.options;
    const { revision, source } = configuration.current();
    return {
      process: context.identity.process,
      incarnation: context.identity.incarnation,
      dataCentre: context.identity.dataCentre,
      revision,
      configurationSource: source,
      partitions: partitions.listOwnedViews().map(({ partition, token }) => ({ partition, token })),
    };
  }

  dump(): Record<string, unknown> {
    return { ...this.describeHealth(), ...this.options.describe() };
  }

  readConfiguration(): Result<Record<string, unknown>, Failure> {
    const { revision, text, operator, atMs, source, conflicts } =
      this.options.configuration.current();
    return Result.ok({ revision, text, operator, atMs, source, conflicts });
  }

  /** Publishes a declaration. A text with a fault is rejected as a whole, and nothing is appended. */
  async publish(
    baseRevision: number,
    text: string,
    operator: string,
  ): Promise<Result<{ revision: number }, Failure>> {
    const { configuration, partitions, context } = this.options;
    const parsed = parseDeclaration(text, 'declaration');
    if (parsed.isErr) {
      const message = parsed.error.map(formatFault).join('\n');
      return Result.err(
        Failure.create(ErrorKind.badDeclaration, message, { faults: parsed.error }),
      );
    }
    const currentDeclaration = partitions.currentDeclaration();
    const layoutCheck = currentDeclaration && checkLayoutChange(currentDeclaration, parsed.value);
    if (layoutCheck?.isErr) return Result.err(layoutCheck.error);
    const published = await configuration.publish(baseRevision, text, operator);
    const outcome = published.isOk ? published.value : published.error.kind;
    context.log('info', 'configuration-published', { operator, baseRevision, outcome });
    return published.map((revision) => ({ revision }));
  }

  /**
   * Builds the account of a period over all partitions: of `user`, or of all users that the token permits
   * when `user` is empty.
   */
  async readAccount(
    user: string,
    period: string,
    permittedUsers: readonly string[],
  ): Promise<Result<Record<string, unknown>, Failure>> {
    if (periodBounds(period) === undefined) {
      const message = `"${period}" is not a period; use a month such as 2026-12 or a day such as 2026-12-04`;
      return Result.err(Failure.create(ErrorKind.badRequest, message));
    }
    if (user !== '' && !permittedUsers.includes(user)) {
      const message = `the token does not permit to read the account of user "${user}"`;
      return Result.err(Failure.create(ErrorKind.forbidden, message));
    }
    const { partitions, ownerCaller } = this.options;
    const partitionIds = partitions.currentLayout().listAll();
    const accounts: PartitionAccount[] = [];
    for (const reply of await Promise.all(
      partitionIds.map((partition) => this.queryAccount(ownerCaller, partition)),
    )) {
      if (reply.isErr) return Result.err(reply.error);
      accounts.push(reply.value);
    }
    const declaredUsers = partitions.currentDeclaration()?.users.map(({ name }) => name) ?? [];
    const includesAllUsers =
      user === '' && declaredUsers.every((name) => permittedUsers.includes(name));
    const report = buildReport(period, partitionIds, accounts);
    return report.map((value) =>
      reportJson(
        includesAllUsers ? value : scopeReport(value, user === '' ? permittedUsers : [user]),
      ),
    );
  }

  private queryAccount(
    ownerCaller: OwnerCaller,
    partition: string,
  ): ReturnType<typeof ownerCaller.call<'forward-account'>> {
    return ownerCaller.call(partition, 'forward-account', { partition }, ACCOUNT_CALL_TIMEOUT_MS);
  }
}
