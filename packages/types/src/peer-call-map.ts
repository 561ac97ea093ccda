import type { Heartbeat } from './heartbeat.js';
import type { JobSpec } from './job-spec.js';
import type { JobStatus } from './job-status.js';
import type { JournalEntry } from './journal-entry.js';
import type { OutstandingGrant } from './outstanding-grant.js';
import type { PartitionAccount } from './partition-account.js';
import type { PartitionId } from './partition-id.js';
import type { PartitionView } from './partition-view.js';
import type { ServiceReply } from './service-reply.js';
import type { ServiceRequest } from './service-request.js';
import type { SubmissionReply } from './submission-reply.js';
import type { SlotGrant } from './slot-grant.js';
import type { SlotRequest } from './slot-request.js';

/** Calls between the processes of the system: body of the request and of the reply, by message type. */
export interface PeerCallMap {
  /** Checks that a persistent connection still delivers messages. */
  probe: { request: Record<string, never>; reply: Record<string, never> };
  heartbeat: { request: Heartbeat; reply: Heartbeat };
  /** Sent to a process of another data centre. Each of the two sends the owners of partitions known to it. */
  digest: {
    request: { views: readonly PartitionView[] };
    reply: { views: readonly PartitionView[] };
  };
  /** The calls `forward-...` pass the calls of callers on to the owner of their partition. */
  'forward-request': {
    request: { partition: PartitionId; request: ServiceRequest };
    reply: ServiceReply;
  };
  'forward-submit': {
    /** `fallback`: partition that accepts a job with a new key while `partition` has no worker. */
    request: { partition: PartitionId; spec: JobSpec; deadlineMs: number; fallback?: PartitionId };
    reply: SubmissionReply;
  };
  'forward-status': {
    request: { jobId: string; waitMs: number; knownState: string };
    reply: JobStatus;
  };
  'forward-cancel': { request: { jobId: string }; reply: JobStatus };
  'forward-account': { request: { partition: PartitionId }; reply: PartitionAccount };
  /** Sent to the owner of a partition to record counts of repeatable requests in its journal. */
  'count-requests': {
    request: { partition: PartitionId; entry: Extract<JournalEntry, { type: 'requests-counted' }> };
    reply: Record<string, never>;
  };
  'slot-request': { request: SlotRequest; reply: SlotGrant };
  /** Sent to the owner of the partition when the granted slot is no longer used. */
  'slot-release': {
    request: { partition: PartitionId; grantId: string; result: 'ended' | 'not-sent' | 'unknown' };
    reply: Record<string, never>;
  };
  /** Sent by a new owner of a partition to query the outstanding grants of older tokens at the receiver. */
  'fence-slots': {
    request: { partition: PartitionId; token: number };
    /** `stopped`: the receiver no longer grants slots of the partition under an older token. */
    reply: { incarnation: string; stopped: boolean; grants: readonly OutstandingGrant[] };
  };
  /**
   * Sent to the owner of the cell or to a standby: the sender is running and can make advice requests for
   * the owner.
   */
  'offer-help': {
    request: {
      address: string;
      cores: number;
      dataCentre: string;
      /** Version of the cell's configuration in force at the sender; absent in the previous version. */
      configurationVersion?: number;
      /** Jobs per second of each team that arrive at the sender; absent when none do, and from the previous version. */
      teamArrivals?: readonly (readonly [team: string, jobsPerSecond: number])[];
    };
    /**
     * `life`: name and incarnation of the replying process. `storeSilentMs`: time since a response
     * of the store to that process became overdue. `largestCores`: cores of the largest machine that it
     * knows. `loopDelayMs`: its event-loop delay. `claim`: the newest claim of the cell that it knows.
     */
    reply: {
      life: string;
      storeSilentMs: number;
      largestCores: number;
      loopDelayMs: number;
      claim: { owner: string; address: string; token: number } | null;
      /** Processes that hold a replica of the cell, with their data centres. */
      standbys: readonly (readonly [string, string])[];
      /** Addresses of all processes known to the owner, in some replies to a standby; otherwise empty. */
      others: readonly string[];
      /** Whether the sender should hold a replica; null when the replying process does not decide this. */
      isStandby: boolean | null;
      /** Pending counts by queue; null from a process without a current replica. */
      pending: readonly (readonly [string, number])[] | null;
      /**
       * Upper bound on the age of the pending counts when the reply was sent; null when it is unknown,
       * absent in the reply of a process of the previous version.
       */
      pendingAgeMs?: number | null;
      /**
       * Estimated memory in bytes of the jobs that have not ended; null from a process without a current replica,
       * absent in the reply of a process of the previous version.
       */
      openJobBytes?: number | null;
      /**
       * Time in ms that an append to the cell log takes at present; absent while appends fail, and in the reply of a
       * process that is not the owner or has the previous version.
       */
      appendTimeMs?: number;
      /** Version of the cell's configuration in force at the replying process; absent in the previous version. */
      configurationVersion?: number;
      /** Address of another process that has this version, from which the sender should read it if it is behind. */
      configurationSource?: string;
      /**
       * Sent by the owner while room is short: the teams whose jobs arrive faster than their rate, with the jobs per
       * second that the receiver may accept, and how long a job beyond them would wait in ms. `ageMs`: age of the
       * information when the reply was sent.
       */
      teamLimits?: {
        ageMs: number | null;
        teams: readonly (readonly [team: string, jobsPerSecond: number, waitMs: number])[];
      };
    };
  };
  /** Sent by a new owner of the cell to all processes known to it. */
  'owner-changed': {
    request: { claim: { owner: string; address: string; token: number } };
    reply: Record<string, never>;
  };
  /** Sent by a process to which the store is unavailable: the receiver appends the record for it. */
  'relay-record': { request: { data: Uint8Array }; reply: { outcome: string } };
  /** Sent by a process with a replica to the owner, to read the cell log from an offset on. */
  'read-log': {
    request: { from: number; waitMs: number };
    /**
     * `ageMs`: upper bound on the age of this reply when it was sent, null when it is unknown. `heldMs`:
     * how long the receiver delayed the reply to wait for records. Both are absent in the reply of a
     * process of the previous version.
     */
    reply: {
      end: number;
      records: readonly Uint8Array[];
      ageMs?: number | null;
      heldMs?: number;
    };
  };
  /**
   * Sent to a process that reported this version of the cell's configuration, to read the bytes of it from an
   * offset on. Only such processes are called, because the previous version does not know the call.
   */
  'read-cell-configuration': {
    request: { version: number; from: number };
    /** `size`: length in bytes of the whole version. `data`: a part of it that begins at `from`. */
    reply: { version: number; size: number; data: Uint8Array };
  };
  /**
   * Sent by a process without a current replica to query the state of a job. `outcome` is empty when it is
   * not known; `isAbsent` is true when the log had no such job when the call arrived.
   */
  'relay-outcome': { request: { job: string }; reply: { outcome: string; isAbsent: boolean } };
  /** Sent by the owner of the cell: the receiver makes the advice request for it. */
  advise: {
    request: { step: string; workers: readonly string[]; timeoutMs: number };
    reply: { advice: unknown };
  };
  'read-configuration': {
    request: Record<string, never>;
    reply: { revision: number; text: string; operator: string };
  };
}
