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
import type { Submission } from './submission.js';
import type { SlotGrant } from './slot-grant.js';
import type { SlotRequest } from './slot-request.js';

/** Calls between entry processes: body of the request and of the reply by message type. */
export interface PeerCallMap {
  probe: { request: Record<string, never>; reply: Record<string, never> };
  heartbeat: { request: Heartbeat; reply: Heartbeat };
  digest: {
    request: { views: readonly PartitionView[] };
    reply: { views: readonly PartitionView[] };
  };
  'forward-request': {
    request: { partition: PartitionId; request: ServiceRequest };
    reply: ServiceReply;
  };
  'forward-submit': {
    /** `fallback`: partition that takes a job with a new key while the first one has no worker. */
    request: { partition: PartitionId; spec: JobSpec; deadlineMs: number; fallback?: PartitionId };
    reply: Submission;
  };
  'forward-status': {
    request: { jobId: string; waitMs: number; knownState: string };
    reply: JobStatus;
  };
  'forward-cancel': { request: { jobId: string }; reply: JobStatus };
  'forward-account': { request: { partition: PartitionId }; reply: PartitionAccount };
  'count-requests': {
    request: { partition: PartitionId; entry: Extract<JournalEntry, { type: 'requests-counted' }> };
    reply: Record<string, never>;
  };
  'slot-request': { request: SlotRequest; reply: SlotGrant };
  'slot-release': {
    request: { partition: PartitionId; grantId: string; result: 'ended' | 'not-sent' | 'unknown' };
    reply: Record<string, never>;
  };
  /** Sent by a new owner: which grants of older tokens are outstanding at the receiver. */
  'fence-slots': {
    request: { partition: PartitionId; token: number };
    reply: { incarnation: string; stopped: boolean; grants: readonly OutstandingGrant[] };
  };
  /** Sent to the owner of the cell, or to a standby: the sender lives, and calls the advice service on request. */
  'offer-help': {
    request: { address: string; cores: number; dataCentre: string };
    /**
     * `life`: name and incarnation of the process that replies; time for which the store has owed it an
     * answer; cores of the largest machine and newest claim that it knows; delay with which it gets to
     * its work.
     */
    reply: {
      life: string;
      storeSilentMs: number;
      largestCores: number;
      loopDelayMs: number;
      claim: { owner: string; address: string; token: number } | null;
      /** Processes that hold a replica of the cell, with their data centres. */
      standbys: readonly (readonly [string, string])[];
      /** Addresses of all processes that the owner heard of; empty unless the sender is a standby. */
      others: readonly string[];
      /** True when the sender is to hold a replica, false when not, null when the owner has to say it. */
      isStandby: boolean | null;
      /** Jobs that wait for their first start, by queue; null from a process whose replica is not current. */
      pending: readonly (readonly [string, number])[] | null;
      /**
       * Upper bound of the age of these counts when the reply was sent; null for unknown, missing from a
       * process of the previous version.
       */
      pendingAgeMs?: number | null;
    };
  };
  /** Sent by a new owner to all processes that it knows of. */
  'owner-changed': {
    request: { claim: { owner: string; address: string; token: number } };
    reply: Record<string, never>;
  };
  /** Sent by a process that the store turns away: the receiver appends the record in its place. */
  'relay-record': { request: { data: Uint8Array }; reply: { outcome: string } };
  /** Sent by a follower: records of the cell log from an offset on, as the owner has read them. */
  'read-log': {
    request: { from: number; waitMs: number };
    /**
     * `ageMs`: upper bound of the age of this answer when it was sent, null for unknown; `heldMs`: how
     * long the call was held. Both are missing from a process of the previous version.
     */
    reply: {
      end: number;
      records: readonly Uint8Array[];
      ageMs?: number | null;
      heldMs?: number;
    };
  };
  /**
   * Sent by a process without a current replica. `outcome` is empty when the job is not known; `isAbsent`
   * says that no such job was in the log when the call arrived.
   */
  'relay-outcome': { request: { job: string }; reply: { outcome: string; isAbsent: boolean } };
  advise: {
    request: { step: string; workers: readonly string[]; timeoutMs: number };
    reply: { advice: unknown };
  };
  'read-configuration': {
    request: Record<string, never>;
    reply: { revision: number; text: string; operator: string };
  };
}
