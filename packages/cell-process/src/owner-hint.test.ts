import { test } from 'node:test';
import { expect } from 'earl';
import { Packr } from 'msgpackr';
import { ownerHint } from './owner-hint.js';

const packr = new Packr({ useRecords: false, moreTypes: false });
const hint = {
  claim: { owner: 'o/1', address: '10.0.0.1:7000', token: 3 },
  standbys: [['10.0.0.2:7000', 'd']],
  largestCores: 4,
};

function read(value: Uint8Array) {
  const page = { end: 1, records: [{ key: 'owner', value }] };
  return ownerHint.read({ readNewest: () => Promise.resolve(page) }, 'keyed.owner');
}

// Guards against a starting process that never finds the owner: another writer left a claim with a token that no
// later one exceeds, and the process passes it on to all others.
test('the owner hint is ignored when another writer left odd values in it', async () => {
  expect(await read(packr.pack(hint))).toEqual(hint as never);
  for (const value of [
    { ...hint, claim: { ...hint.claim, token: 1e300 } },
    { ...hint, claim: { ...hint.claim, token: Number.NaN } },
    { ...hint, claim: { ...hint.claim, token: 2n ** 60n } },
    { ...hint, claim: null },
    { ...hint, largestCores: Number.NaN },
    { ...hint, largestCores: -1 },
    { ...hint, standbys: [[]] },
    { ...hint, standbys: 'none' },
    null,
    [],
  ])
    expect(await read(packr.pack(value))).toEqual(null);
  const deepArray = Buffer.concat([Buffer.alloc(100_000, 0x91), Buffer.from([0xc0])]);
  for (const data of [deepArray, Buffer.from([0xc1]), Buffer.alloc(0)])
    expect(await read(data)).toEqual(null);
});
