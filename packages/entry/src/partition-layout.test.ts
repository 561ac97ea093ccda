import { test } from 'node:test';
import { expect } from 'earl';
import { PartitionLayout } from './partition-layout.js';

// Guards against a cache that mixes up data centres or addresses, and against partitions that change when it is
// cleared.
test('the partition layout returns the same partition for a VM after its cache was cleared', () => {
  const dataCentres = ['a', 'b'].map((name) => ({ name, region: 'r', partitions: 4 }));
  const layout = PartitionLayout.create({ dataCentres });
  for (let number = 0; number < 25_000; number += 1) {
    layout.findByVm(number % 2 === 0 ? 'a' : 'b', `10.0.0.1:${number}`);
  }
  for (let number = 0; number < 200; number += 1) {
    for (const dataCentre of ['a', 'b']) {
      const address = `10.0.0.1:${number}`;
      const expected = PartitionLayout.create({ dataCentres }).findByVm(dataCentre, address);
      expect(expected?.startsWith(`${dataCentre}.`)).toEqual(true);
      expect(layout.findByVm(dataCentre, address)).toEqual(expected);
      expect(layout.findByVm(dataCentre, address)).toEqual(expected);
    }
  }
});
