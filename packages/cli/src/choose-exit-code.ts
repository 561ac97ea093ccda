import { answers } from '@acaciahoist/errors/answers';
import { Outcome } from '@acaciahoist/types/outcome';

const exitCodesByOutcome: Readonly<Record<Outcome, number>> = {
  [Outcome.completed]: 0,
  [Outcome.late]: 0,
  [Outcome.refused]: answers['never-runnable'].exitCode,
  [Outcome.cancelled]: answers.cancelled.exitCode,
  /** No error kind means that the work ran and failed, so this code is not in the error table. */
  [Outcome.failed]: 10,
  [Outcome.unknown]: answers['outcome-unknown'].exitCode,
};

/** Returns the exit code for the outcome of a job, or that of an internal error for any other value. */
export function chooseExitCode(outcome: unknown): number {
  const knownOutcome = Object.values(Outcome).find((value) => value === outcome);
  return knownOutcome === undefined ? answers.internal.exitCode : exitCodesByOutcome[knownOutcome];
}
