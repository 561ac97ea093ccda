import type { WaitReason } from '@acaciahoist/cell-planner/wait-reason';

/** Sentences for operators. */
export const waitTexts: Readonly<Record<WaitReason, string>> = {
  'not-due': 'its scheduled time has not come',
  'earlier-steps': 'steps that it depends on are not done',
  'gang-ends': 'members of the last run of the gang have not ended',
  'store-unavailable':
    'the store does not acknowledge records, so that no starts are decided until it does',
  'start-being-recorded': 'its start is decided and the store has not acknowledged the record yet',
  'start-unconfirmed': 'its start is recorded and the worker has not confirmed it',
  running: 'it runs',
  'starts-next': 'the next planning round starts it',
  'no-workers': 'no worker of its service is known',
  'no-label': 'no worker of its service has the label that it requires',
  'none-accepts': 'all workers that could run it are draining, unreachable or ejected',
  'too-large': 'it does not fit even if all workers that accept starts are idle',
  'team-quota':
    'its team may start no more of it: its quota is used up, or kept for earlier work of the team',
  'waits-for-advice': 'the advice service has not answered for it',
  'advice-denied': 'the advice service allowed none of the workers that it was asked about',
  'start-window-full': 'too many starts have no answer from their workers',
  'no-room': 'no allowed worker has room for a task',
  'limit-per-worker':
    'the workers with room already run as many tasks of the step as it permits on one worker',
  'beside-serving':
    'the workers with room serve, and best-effort tasks start there one at a time while the tails are low',
  'no-room-for-gang': 'the allowed workers have no room for all tasks of the gang at once',
  'failed-there':
    'only workers on which its tasks have failed have room, and others that could run them come first for a second',
  'tickets-expired': 'the tickets for the workers with room have expired',
  'behind-others': 'the room goes to more urgent steps or is reserved for a gang',
};
