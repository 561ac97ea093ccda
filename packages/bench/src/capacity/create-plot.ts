import { parse, View, type Spec } from 'vega';
import type { CapacityReport } from './capacity-report.js';

/** Creates an SVG plot of one measure over one size, with the points and the fitted line. */
export async function createPlot(
  title: string,
  points: readonly { x: number; y: number }[],
  fit: CapacityReport['fits'][number],
): Promise<string> {
  const xs = points.map(({ x }) => x);
  const line = [Math.min(...xs), Math.max(...xs)].map((x) => ({
    x,
    y: fit.intercept + fit.slope * x,
  }));
  const encode = { x: { scale: 'x', field: 'x' }, y: { scale: 'y', field: 'y' } };
  const spec: Spec = {
    $schema: 'https://vega.github.io/schema/vega/v6.json',
    width: 420,
    height: 260,
    padding: 8,
    background: 'white',
    title,
    data: [
      { name: 'points', values: [...points] },
      { name: 'line', values: line },
    ],
    scales: [
      { name: 'x', range: 'width', zero: true, nice: true, domain: { data: 'points', field: 'x' } },
      {
        name: 'y',
        range: 'height',
        zero: true,
        nice: true,
        domain: { data: 'points', field: 'y' },
      },
    ],
    axes: [
      { orient: 'bottom', scale: 'x', title: fit.varied, grid: true },
      { orient: 'left', scale: 'y', title: fit.measure, grid: true },
    ],
    marks: [
      {
        type: 'line',
        from: { data: 'line' },
        encode: { enter: { ...encode, stroke: { value: '#c44' } } },
      },
      {
        type: 'symbol',
        from: { data: 'points' },
        encode: { enter: { ...encode, size: { value: 40 }, fill: { value: '#357' } } },
      },
    ],
  };
  return new View(parse(spec), { renderer: 'none' }).toSVG();
}
