import type { ErrorKind } from '@acaciahoist/errors/error-kind';
import type { Outcome } from '@acaciahoist/types/outcome';
import type { Resources } from '@acaciahoist/types/resources';
import type { TaskOutcome } from '@acaciahoist/types/task-outcome';

/** A process of the system. It gets a new incarnation with each restart. */
interface ProcessIncarnation {
  process: string;
  incarnation: string;
}

/** What a caller received. */
type CallerAnswer =
  | { type: 'reply'; bodyDigest: string; isComplete: boolean }
  | { type: 'error'; kind: ErrorKind }
  /** The connection was closed without an answer. */
  | { type: 'closed' };

/** One observation. Request ids are those of the caller, without the suffix that a retry adds. */
type Observation =
  | ({
      type: 'request-asked';
      requestId: string;
      service: string;
      key: string | null;
    } & ProcessIncarnation)
  | ({ type: 'request-answered'; requestId: string; answer: CallerAnswer } & ProcessIncarnation)
  /** The caller closed its connection and expects no answer. */
  | { type: 'request-abandoned'; requestId: string }
  | { type: 'runner-capacity'; runner: string; slots: number }
  /** The runner began to work on a request, even if its sender receives no confirmation. */
  | {
      type: 'runner-began';
      requestId: string;
      runner: string;
      incarnation: string;
      key: string | null;
    }
  /** `replyDigest` is null when the work was stopped before its end. */
  | {
      type: 'runner-ended';
      requestId: string;
      runner: string;
      incarnation: string;
      replyDigest: string | null;
    }
  /** `kind` is null when the answer was not an error. */
  | { type: 'job-answered'; jobId: string; kind: ErrorKind | null }
  | { type: 'worker-capacity'; worker: string; resources: Resources }
  /** `part` is the number of the task in its job. */
  | {
      type: 'task-began';
      taskId: string;
      jobId: string;
      part: number;
      worker: string;
      resources: Resources;
      key: string | null;
    }
  | { type: 'task-ended'; taskId: string; worker: string; outcome: TaskOutcome }
  | { type: 'key-claimed'; key: string; requestDigest: string }
  | { type: 'outcome-recorded'; key: string; outcome: Outcome }
  | { type: 'configuration-accepted'; revision: number; textDigest: string }
  | ({ type: 'configuration-in-force'; revision: number; textDigest: string } & ProcessIncarnation)
  | ({ type: 'process-started' } & ProcessIncarnation)
  /** The process ended, either unexpectedly or at the end of a planned stop. */
  | ({ type: 'process-ended' } & ProcessIncarnation)
  /** The process can reach neither the log of the platform nor a peer that can. */
  | ({ type: 'platform-lost' } & ProcessIncarnation)
  | ({ type: 'platform-restored' } & ProcessIncarnation)
  /** The platform lists the runner or worker as leaving. */
  | { type: 'endpoint-leaving'; endpoint: string }
  | { type: 'endpoint-returned'; endpoint: string }
  /** The VM of the endpoint was lost, with everything that ran there. */
  | { type: 'endpoint-lost'; endpoint: string }
  /** A planned stop of an entry process or a runner. */
  | { type: 'stop-begun'; endpoint: string }
  | { type: 'stop-ended'; endpoint: string };

/** An observation with its time by the clock of the observer, in ms. */
export type HistoryEvent = Observation & { atMs: number };
