import type { JobSpec } from './job-spec.js';

/** A call of a caller or operator to an entry process, decoded from HTTP. */
export type CallerCall =
  | {
      type: 'request';
      service: string;
      user: string;
      key: string | null;
      contentType: string;
      body: Uint8Array;
      /** Null when the caller states no deadline; the declared deadline of the service then applies. */
      deadlineMs: number | null;
    }
  | { type: 'submit'; spec: JobSpec; deadlineMs: number }
  | { type: 'status'; jobId: string; waitMs: number; knownState: string }
  | { type: 'cancel'; jobId: string }
  | { type: 'account'; user: string; period: string }
  | { type: 'read-configuration' }
  | { type: 'publish'; baseRevision: number; text: string }
  | { type: 'dump' }
  | { type: 'health' }
  | { type: 'ready' };
