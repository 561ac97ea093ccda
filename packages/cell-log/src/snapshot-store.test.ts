import { test } from 'node:test';
import { expect } from 'earl';
import { CellState } from '@acaciahoist/cell-state';
import type { KeyedRecord } from '@acaciahoist/cell-types/keyed-record';
import { SnapshotStore } from './snapshot-store.js';

function create(values: Map<string, Uint8Array | undefined>): {
  snapshots: SnapshotStore;
  append: (records: Uint8Array[]) => Promise<'appended'>;
} {
  const pending = new Map<Uint8Array, KeyedRecord>();
  const snapshots = SnapshotStore.create({
    topic: 'keyed.cell',
    log: () => undefined,
    store: {
      newest: () =>
        Promise.resolve({ end: 0, records: [...values].map(([key, value]) => ({ key, value })) }),
      encodeKeyed: (record) => {
        const data = Buffer.from(record.key);
        pending.set(data, record);
        return data;
      },
    },
  });
  return {
    snapshots,
    append: (records) => {
      for (const data of records) {
        const record = pending.get(data);
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

// Guards against a start without any snapshot that waits for one.
test('reads an empty state when there is no snapshot', async () => {
  const { snapshots } = create(new Map());
  expect((await snapshots.read(empty, 1_000))?.nextOffset).toEqual(0);
});

// Guards against a snapshot that hides the one before it although it was not finished.
test('keeps the last whole snapshot until the next one is whole', async () => {
  const { snapshots, append } = create(new Map());
  expect(await snapshots.write(stateAt(5), append)).toEqual(true);
  expect((await snapshots.read(empty, 1_000))?.nextOffset).toEqual(5);
  const cut = await snapshots.write(stateAt(9), async (records) => {
    await append(records);
    return 'refused';
  });
  expect(cut).toEqual(false);
  expect((await snapshots.read(empty, 1_000))?.nextOffset).toEqual(5);
  expect(await snapshots.write(stateAt(12), append)).toEqual(true);
  expect((await snapshots.read(empty, 1_000))?.nextOffset).toEqual(12);
});

// Guards against parts of two snapshots that are taken for one.
test('refuses a snapshot whose parts do not belong together', async () => {
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
