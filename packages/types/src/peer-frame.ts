import type { ProcessIdentity } from './process-identity.js';

/** One message on a connection between entry processes. */
export interface PeerFrame {
  /** Matches a reply to its call; unique per sender incarnation. */
  id: number;
  kind: 'call' | 'reply' | 'error';
  from: ProcessIdentity;
  /** Message type of the call. */
  type: string;
  body: unknown;
  /** Remaining time of the call when it was sent, ms; 0 in replies. */
  deadlineMs: number;
}
