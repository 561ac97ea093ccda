import type { Resources } from '@acaciahoist/types/resources';

/** An event that a member of the simulated platform records. */
export type HistoryEvent =
  | {
      type: 'append';
      stream: string;
      process: string;
      bytes: number;
      /** Offset of the record; absent when it was not appended. */
      offset?: number;
      result: 'appended' | 'rate-limited' | 'outage';
      /** False when a fault lost the response. */
      answered: boolean;
    }
  | {
      type: 'request-began';
      requestId: string;
      service: string;
      process: string;
      /** First 16 hexadecimal digits of the SHA-256 of the body. */
      bodyDigest: string;
      /** Slots in use, this request included. */
      busySlots: number;
    }
  | {
      type: 'request-ended';
      requestId: string;
      outcome: 'served' | 'failed' | 'deadline' | 'lost';
      busySlots: number;
    }
  | {
      type: 'task-began';
      taskId: string;
      jobId: string;
      token: number;
      /** Demand that the start stated. */
      declared: Resources;
      /** Progress from which the task continues; 0 without a checkpoint. */
      resumedMs: number;
    }
  | {
      type: 'task-ended';
      taskId: string;
      outcome: 'completed' | 'failed' | 'stopped' | 'checkpointed' | 'lapsed' | 'lost';
    }
  | { type: 'start-refused'; taskId: string; reason: string }
  /** A worker refused a call because its token is lower than the highest one received. */
  | { type: 'stale-token'; token: number; highest: number }
  /** A worker received a token that is higher than all earlier ones. */
  | { type: 'fenced'; token: number }
  /**
   * A runner has more requests than slots, or the declared demand at a worker exceeds its capacity.
   */
  | { type: 'oversold'; resource: string; used: number; capacity: number }
  | { type: 'out-of-memory'; taskId: string; usedMib: number; capacityMib: number }
  /** A fault lost a call `before` its effect or its response `after` the effect. */
  | { type: 'call-dropped'; process: string; path: string; when: 'before' | 'after' }
  /** The member refused a connection because it already has as many as it accepts. */
  | { type: 'connection-refused' }
  | { type: 'endpoint-up'; incarnation: string }
  | { type: 'endpoint-leaving' }
  | { type: 'endpoint-down' }
  /** A control call was applied. */
  | { type: 'fault'; target: string; fault: string; value: unknown }
  | { type: 'internal-error'; message: string };
