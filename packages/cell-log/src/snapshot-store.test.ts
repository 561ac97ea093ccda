import { test } from 'node:test';
import { expect } from 'earl';
import { Packr } from 'msgpackr';
import { plainStep } from '@acaciahoist/cell-types/plain-step';
import { CellState } from '@acaciahoist/cell-state';
import type { KeyedRecord } from '@acaciahoist/cell-types/keyed-record';
import { Random } from '@acaciahoist/random';
import { SnapshotStore } from './snapshot-store.js';

function create(values: Map<string, Uint8Array | undefined>): {
  snapshots: SnapshotStore;
  append: (records: Uint8Array[]) => Promise<'appended'>;
} {
  const encodedRecords = new Map<Uint8Array, KeyedRecord>();
  const snapshots = SnapshotStore.create({
    topic: 'keyed.cell',
    log: () => undefined,
    store: {
      readNewest: () =>
        Promise.resolve({ end: 0, records: [...values].map(([key, value]) => ({ key, value })) }),
      encodeKeyed: (record) => {
        const data = Buffer.from(record.key);
        encodedRecords.set(data, record);
        return data;
      },
    },
  });
  return {
    snapshots,
    append: (records) => {
      for (const data of records) {
        const record = encodedRecords.get(data);
        if (record !== undefined) values.set(record.key, record.value);
      }
      return Promise.resolve('appended');
    },
  };
}

const empty = (): CellState => CellState.create(1_000);

function stateAt(offset: number): CellState {
  const state = empty();
  while (state.nextOffset < offset) state.apply({ kind: 'renew', wallMs: state.nextOffset });
  return state;
}

// Guards against processes that wait for a snapshot forever when a cell starts for the first time.
test('the snapshot store reads an empty state when there is no snapshot', async () => {
  const { snapshots } = create(new Map());
  expect((await snapshots.read(empty, 1_000))?.nextOffset).toEqual(0);
});

// Guards against an unfinished snapshot that hides the previous one, when an append of its parts
// fails.
test('the snapshot store returns the last complete snapshot until the next one is complete', async () => {
  const { snapshots, append } = create(new Map());
  expect(await snapshots.write(stateAt(5), append)).toEqual(true);
  expect((await snapshots.read(empty, 1_000))?.nextOffset).toEqual(5);
  const isWritten = await snapshots.write(stateAt(9), async (records) => {
    await append(records);
    return 'refused';
  });
  expect(isWritten).toEqual(false);
  expect((await snapshots.read(empty, 1_000))?.nextOffset).toEqual(5);
  expect(await snapshots.write(stateAt(12), append)).toEqual(true);
  expect((await snapshots.read(empty, 1_000))?.nextOffset).toEqual(12);
});

// Guards against a new owner whose first, unfinished snapshot overwrites parts of the newest
// complete one, so that no process can start afterwards.
test('the snapshot store keeps the snapshot of the previous writer until its own is complete', async () => {
  const values = new Map<string, Uint8Array | undefined>();
  const predecessor = create(values);
  predecessor.snapshots.setWriter('7');
  await predecessor.snapshots.write(stateAt(5), predecessor.append);
  const successor = create(values);
  successor.snapshots.setWriter('8');
  await successor.snapshots.write(stateAt(9), async (records) => {
    await successor.append(records);
    return 'refused';
  });
  expect((await create(values).snapshots.read(empty, 1_000))?.nextOffset).toEqual(5);
  expect(await successor.snapshots.write(stateAt(12), successor.append)).toEqual(true);
  expect((await create(values).snapshots.read(empty, 1_000))?.nextOffset).toEqual(12);
  const kept = [...values].filter(([, value]) => value !== undefined).map(([key]) => key);
  expect(kept.filter((key) => key.startsWith('7'))).toEqual([]);
});

// Guards against parts of two snapshots that are combined into one, when a snapshot is replaced
// while it is read.
test('the snapshot store reads nothing when the head and the parts of a snapshot have different offsets', async () => {
  const values = new Map<string, Uint8Array | undefined>();
  const first = create(values);
  await first.snapshots.write(stateAt(5), first.append);
  const part = [...values].find(([key]) => key !== 'head');
  const second = create(values);
  await second.snapshots.write(stateAt(9), second.append);
  if (part !== undefined) values.set(part[0], part[1]);
  const head = values.get('head');
  await second.snapshots.write(stateAt(12), second.append);
  if (head !== undefined) values.set('head', head);
  if (part !== undefined) values.delete(part[0]);
  expect(await first.snapshots.read(empty, 1_000)).toEqual(undefined);
});

/** A cell with 350 jobs of 30 tasks each, half of which run. */
function largeState(): CellState {
  const state = empty();
  const random = Random.create(20_261_204);
  for (let number = 0; number < 350; number += 1) {
    const id = (number * 7_919 + 0xabcdef01).toString(16).padStart(16, '0');
    state.apply({
      kind: 'job',
      job: {
        id,
        queue: { name: 'q', service: 's', priority: 0, maxAttempts: 2, stretch: 2, baseMs: 250 },
        payload: Array.from({ length: 60 }, () => random.integer(0, 0xffffff).toString(16)).join(
          '',
        ),
        steps: [{ ...plainStep, count: 30 }],
        occurrences: 1,
        firstRunMs: 0,
        intervalMs: 0,
        receivedMs: 1_700_000_000_000 + number,
      },
    });
    for (let index = 0; index < 15; index += 1)
      state.apply({ kind: 'start', task: `${id}.0.0.${index}`, run: 1, worker: `i-${index}ab54e` });
  }
  return state;
}

// Guards against a snapshot of megabytes when all processes of a large cell start together, some
// over links of 10 Mbit/s: reading its pages exceeded the timeout, and processes read them again
// forever (on capsula-austral-grown, 27 of 35 processes never loaded it after a power failure).
test('the snapshot store compresses the snapshot of a large cell so that a read takes a fraction of a second', async () => {
  const values = new Map<string, Uint8Array | undefined>();
  const { snapshots, append } = create(values);
  const state = largeState();
  expect(await snapshots.write(state, append)).toEqual(true);
  const bytes = [...values.values()].reduce((sum, value) => sum + (value?.byteLength ?? 0), 0);
  console.log(`snapshot of ${state.jobs.size} jobs: ${bytes} bytes`);
  // 0.4 s at 10 Mbit/s, in base64 and with the slot of the previous snapshot.
  expect(bytes).toBeLessThan(180_000);
  const loaded = await snapshots.read(empty, 1_000);
  expect([...(loaded?.jobs.values() ?? [])]).toEqual([...state.jobs.values()]);
});

// Guards against an upgrade that cannot read the snapshots of the version before it.
test('the snapshot store reads a snapshot that is not compressed', async () => {
  const packr = new Packr({ useRecords: false });
  const part = packr.pack({ nextOffset: 7, logTimeMs: 5, claim: null, jobs: [], ended: [] });
  const { snapshots } = create(
    new Map<string, Uint8Array>([
      ['head', packr.pack({ slot: 'a', chunks: 1, offset: 7 })],
      ['a.0', packr.pack({ offset: 7, part })],
    ]),
  );
  expect((await snapshots.read(empty, 1_000))?.nextOffset).toEqual(7);
});
