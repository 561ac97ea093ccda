import { test } from 'node:test';
import { expect } from 'earl';
import { RecoveryCell } from './recovery-cell.js';

const PARTITION = 'dc-a.0';
/** Longer than the timeout of one health call, and shorter than a lease, so that the owner keeps its partition. */
const PAUSE_MS = 800;

// Guards against a recovery run that fails before its fault begins, because a busy owner answers one health call late.
test('a recovery cell finds the owner of a partition that does not answer the first health call', async () => {
  const cell = await RecoveryCell.create({ processes: 3, seed: 1 });
  try {
    const ownerIndex = await cell.ownerOf(PARTITION);
    cell.process(ownerIndex).signal('SIGSTOP');
    cell.clock.after(PAUSE_MS, () => {
      cell.process(ownerIndex).signal('SIGCONT');
    });
    expect(await cell.ownerOf(PARTITION)).toEqual(ownerIndex);
  } finally {
    await cell.stop();
  }
});

// Guards against a recovery run that waits for an owner when its processes have answered that there is none.
test('a recovery cell reports at once that a partition has no owner when all processes answer', async () => {
  const cell = await RecoveryCell.create({ processes: 3, seed: 1 });
  try {
    await expect(cell.ownerOf('dc-a.9')).toBeRejectedWith('partition dc-a.9 has no owner');
  } finally {
    await cell.stop();
  }
});
