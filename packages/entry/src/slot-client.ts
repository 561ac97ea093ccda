import Result from 'true-myth/result';
import type { Clock } from '@acaciahoist/clock';
import { Failure } from '@acaciahoist/errors';
import { ErrorKind } from '@acaciahoist/errors/error-kind';
import type { PeerCallType } from '@acaciahoist/peer-protocol/peer-call-type';
import type { SlotGrant } from '@acaciahoist/slot-pool/slot-grant';
import { ReleaseResult } from '@acaciahoist/slot-pool/release-result';
import type { SlotRequest } from '@acaciahoist/slot-pool/slot-request';
import type { OutstandingGrant } from '@acaciahoist/types/outstanding-grant';
import type { PeerCallMap } from '@acaciahoist/types/peer-call-map';

/** Timeout of a release. When a release is lost, the slot becomes free after the deadline of the grant. */
const RELEASE_TIMEOUT_MS = 1_000;

interface Options {
  clock: Clock;
  /** Lists the partitions from whose pools slots may be requested. */
  listPartitions: () => readonly string[];
  /** Counts the live runners of a service in a partition's pool. */
  countRunners: (partition: string, service: string) => number;
  callOwner: <Type extends PeerCallType>(
    partition: string,
    type: Type,
    body: PeerCallMap[Type]['request'],
    deadlineMs: number,
  ) => Promise<Result<PeerCallMap[Type]['reply'], Failure>>;
}

interface HeldRequest {
  partition: string;
  request: SlotRequest;
  /** Undefined until the grant arrives. */
  grant: SlotGrant | undefined;
  deadlineAtMs: number;
}

/** Requests slots from the pools of the data centre, in whichever process they are, and tracks its requests. */
export class SlotClient {
  static create(options: Options): SlotClient {
    return new SlotClient(options);
  }

  /** Requests by grant id that were sent and not refused or released. */
  private readonly heldRequests = new Map<string, HeldRequest>();
  private rotationCount = 0;

  private constructor(private readonly options: Options) {}

  /**
   * Requests a slot from the pools in turn, until one grants it or the deadline has passed. Only a pool that
   * is overloaded or whose owner is unreachable makes it try the next one.
   */
  async acquire(request: SlotRequest): Promise<Result<SlotGrant, Failure>> {
    const { clock } = this.options;
    const startedAtMs = clock.monotonicMs();
    const partitions = this.rankPartitions(request.service);
    let lastResult: Result<SlotGrant, Failure> = Result.err(
      Failure.create(ErrorKind.ownerUnreachable, 'no partition of this data centre is declared'),
    );
    for (const partition of partitions) {
      const deadlineMs = request.deadlineMs - (clock.monotonicMs() - startedAtMs);
      if (deadlineMs <= 0) return lastResult;
      const heldRequest: HeldRequest = {
        partition,
        request,
        grant: undefined,
        deadlineAtMs: startedAtMs + request.deadlineMs,
      };
      this.heldRequests.set(request.grantId, heldRequest);
      const { grantId, service, lane, exclude } = request;
      const body = { grantId, service, lane, exclude, deadlineMs, partition };
      lastResult = await this.options.callOwner(partition, 'slot-request', body, deadlineMs);
      if (lastResult.isOk) {
        heldRequest.grant = lastResult.value;
        // A release may have removed the request before the grant arrived; the next release must find it again.
        this.heldRequests.set(request.grantId, heldRequest);
        return lastResult;
      }
      const mayTryNext =
        lastResult.error.kind === ErrorKind.ownerUnreachable ||
        lastResult.error.kind === ErrorKind.overloaded;
      if (!mayTryNext) {
        // The owner may have granted the slot although its reply was lost.
        this.release(request.grantId, ReleaseResult.notSent);
        return lastResult;
      }
      this.heldRequests.delete(request.grantId);
    }
    return lastResult;
  }

  /** Returns a slot to its pool. Has no effect on a grant id that is not held. */
  release(grantId: string, result: ReleaseResult): void {
    const heldRequest = this.heldRequests.get(grantId);
    if (heldRequest === undefined) return;
    this.heldRequests.delete(grantId);
    const body = { partition: heldRequest.partition, grantId, result };
    void this.options.callOwner(heldRequest.partition, 'slot-release', body, RELEASE_TIMEOUT_MS);
  }

  /** Lists the grants of a partition's pool that this process uses, to report them to a new owner. */
  listOutstanding(partition: string): readonly OutstandingGrant[] {
    const nowMs = this.options.clock.monotonicMs();
    const outstanding: OutstandingGrant[] = [];
    for (const heldRequest of this.heldRequests.values()) {
      if (heldRequest.partition !== partition || heldRequest.grant === undefined) continue;
      const { grantId, service, lane, holder } = heldRequest.request;
      const remainingMs = Math.max(0, heldRequest.deadlineAtMs - nowMs);
      outstanding.push({
        grantId,
        runner: heldRequest.grant.runner,
        service,
        lane,
        holder,
        remainingMs,
      });
    }
    return outstanding;
  }

  describe(): { held: number } {
    return { held: this.heldRequests.size };
  }

  /**
   * Sorts the partitions by the requests of this process per runner of their pools, fewest first. Pools
   * differ in size, because runners are hashed to partitions; equal shares would overload the small ones.
   */
  private rankPartitions(service: string): readonly string[] {
    const { listPartitions, countRunners } = this.options;
    const requestCounts = new Map<string, number>();
    for (const { partition } of this.heldRequests.values()) {
      requestCounts.set(partition, (requestCounts.get(partition) ?? 0) + 1);
    }
    const loads = this.rotate(listPartitions()).map((partition) => ({
      partition,
      load: ((requestCounts.get(partition) ?? 0) + 1) / countRunners(partition, service),
    }));
    // Pools without a runner have an infinite load and come last.
    return loads.sort(compareLoads).map(({ partition }) => partition);
  }

  /** Rotates the partitions by one more at each call, so that pools with equal load come first in turn. */
  private rotate(partitions: readonly string[]): readonly string[] {
    this.rotationCount += 1;
    const firstIndex = partitions.length === 0 ? 0 : this.rotationCount % partitions.length;
    return [...partitions.slice(firstIndex), ...partitions.slice(0, firstIndex)];
  }
}

/** Infinite loads are equal; their difference would be NaN. */
function compareLoads(first: { load: number }, second: { load: number }): number {
  return first.load === second.load ? 0 : first.load - second.load;
}
