import { Failure } from '@acaciahoist/errors';

/** Failures of `SlotPool.acquire`. After each of them the work was not sent. */
export const refusals = {
  notOwner: () =>
    Failure.create('not-owner', 'This process does not own the partition of the runners.'),
  deadlineExceeded: () =>
    Failure.create('deadline-exceeded', 'The deadline passed before a slot was free.'),
  cancelled: () =>
    Failure.create('cancelled', 'The request was cancelled before it was granted a slot.', {
      sent: false,
    }),
  overloaded: (message: string) => Failure.create('overloaded', message),
} as const;
