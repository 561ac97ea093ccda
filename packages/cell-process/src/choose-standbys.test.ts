import { test } from 'node:test';
import { expect } from 'earl';
import { chooseStandbys } from './choose-standbys.js';

const limits = { maxSmallCellSize: 4, standbys: 3, ownDataCentre: 'a', current: new Set<string>() };

function choose(
  candidates: [address: string, dataCentre: string, cores: number][],
  current: string[] = [],
): string[] {
  return chooseStandbys({
    ...limits,
    current: new Set(current),
    candidates: candidates.map(([address, dataCentre, cores]) => ({ address, dataCentre, cores })),
  }).map(({ address }) => address);
}

// Guards against a small cell that has too few replicas, because some machines are small or could not own the
// cell now.
test('the choice of standbys contains every process when the cell is small', () => {
  expect(
    choose([
      ['p1', 'a', 0.3],
      ['p2', 'a', 0],
      ['p3', 'b', 1],
    ]),
  ).toEqual(['p1', 'p2', 'p3']);
});

// Guards against replicas on every machine of a large cell, on machines that cannot own the cell, and in
// one data centre only. The cell has a hundred processes on unlike machines.
test('the choice of standbys takes large machines in several data centres when the cell is large', () => {
  const candidates: [string, string, number][] = [];
  for (let number = 0; number < 90; number += 1)
    candidates.push([`s${number}`, 'abc'[number % 3] ?? '', 0.3]);
  for (let number = 0; number < 6; number += 1)
    candidates.push([`l${number}`, 'abc'[number % 3] ?? '', 1.35]);
  candidates.push(['stopping', 'd', 0]);
  expect(choose(candidates)).toEqual(['l1', 'l2', 'l0']);
});

// Guards against replicas that are dropped and loaded elsewhere whenever another process reports itself.
test('the choice of standbys keeps the current standbys when other candidates are equal', () => {
  const candidates: [string, string, number][] = ['p1', 'p2', 'p3', 'p4', 'p5', 'p6'].map(
    (address) => [address, 'b', 1],
  );
  expect(choose(candidates, ['p4', 'p6', 'p5'])).toEqual(['p4', 'p5', 'p6']);
  expect(choose(candidates, ['gone', 'p6', 'p5'])).toEqual(['p5', 'p6', 'p1']);
});
