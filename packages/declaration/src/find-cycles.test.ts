import { test } from 'node:test';
import { expect } from 'earl';
import fc from 'fast-check';
import { findCycles } from './find-cycles.js';

const seed = Number(process.env.SEED ?? 20_261_204);

/**
 * Returns true if no edge remains when edges to nodes without outgoing edges are removed repeatedly. It is
 * the independent reference for `findCycles`.
 */
function isAcyclic(edges: readonly (readonly [string, string])[]): boolean {
  let remaining = edges;
  for (;;) {
    const nodesWithTargets = new Set(remaining.map(([from]) => from));
    const next = remaining.filter(([, to]) => nodesWithTargets.has(to));
    if (next.length === remaining.length) return remaining.length === 0;
    remaining = next;
  }
}

test('the cycle search returns existing paths only and misses no cycle of a random graph', (t) => {
  // Guards against a published declaration with a dependency cycle, whose services would never start.
  t.diagnostic(`seed ${seed}`);
  const node = fc.nat(11).map((index) => `s${index}`);
  const property = fc.property(fc.array(fc.tuple(node, node), { maxLength: 24 }), (edges) => {
    const graph = new Map<string, string[]>();
    for (const [from, to] of edges) graph.set(from, [...(graph.get(from) ?? []), to]);
    const cycles = findCycles(graph, 1000);
    const closingEdges = new Set<string>();
    for (const cycle of cycles) {
      expect(cycle.at(0)).toEqual(cycle.at(-1));
      expect(new Set(cycle).size).toEqual(cycle.length - 1);
      for (const [index, name] of cycle.slice(1).entries())
        expect(graph.get(cycle[index] ?? '')?.includes(name)).toEqual(true);
      closingEdges.add(cycle.slice(-2).join(' '));
    }
    expect(isAcyclic(edges)).toEqual(cycles.length === 0);
    expect(isAcyclic(edges.filter((edge) => !closingEdges.has(edge.join(' '))))).toEqual(true);
  });
  fc.assert(property, { seed, numRuns: 1000 });
});

test('the cycle search finds a cycle of 100,000 nodes without overflowing the stack', () => {
  // Guards against a recursive search, whose depth is the length of the longest chain of dependencies.
  const size = 100_000;
  const chain = new Map(
    Array.from({ length: size }, (_, index) => [`s${index}`, [`s${(index + 1) % size}`]]),
  );
  expect(findCycles(chain, 5).map((cycle) => cycle.length)).toEqual([size + 1]);
});
