import { test } from 'node:test';
import { expect } from 'earl';
import { fitLine } from './fit-line.js';

test('fitLine returns the slope, intercept and deviation of points on a line and of points around one', () => {
  // Guards against wrong capacity figures: a wrong slope from exchanged axes, and a deviation of 0
  // although the points are off the line.
  const exact = fitLine([1, 2, 4].map((x) => ({ x, y: 3 + 2 * x })));
  expect(exact.slope).toEqual(2);
  expect(exact.intercept).toEqual(3);
  expect(exact.deviation).toEqual(0);
  const spread = fitLine([
    { x: 0, y: -1 },
    { x: 0, y: 1 },
    { x: 2, y: -1 },
    { x: 2, y: 1 },
  ]);
  expect(spread).toEqual({ slope: 0, intercept: 0, deviation: 1 });
});
