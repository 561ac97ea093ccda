import { answers } from '@acaciahoist/errors/answers';
import { Outcome } from '@acaciahoist/types/outcome';

const exitCodesByOutcome: Readonly<Record<Outcome, number>> = {
  [Outcome.completed]: 0,
  [Outcome.late]: 0,
  [Outcome.refused]: answers['never-runnable'].exitCode,
  [Outcome.cancelled]: answers.cancelled.exitCode,
  /** The work ran and failed, which no error kind stands for. */
  [Outcome.failed]: 10,
  [Outcome.unknown]: answers['outcome-unknown'].exitCode,
};

/** Exit code for the outcome of a job. */
export function chooseExitCode(outcome: unknown): number {
  const known = Object.values(Outcome).find((value) => value === outcome);
  return known === undefined ? answers.internal.exitCode : exitCodesByOutcome[known];
}
