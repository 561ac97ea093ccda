/**
 * Draws days with two kinds of trouble at the same time from the days with one kind, deploy/days/only-*.toml:
 * node scripts/draw-day-pairs.mjs SEED COUNT. The same seed and files give the same days.
 */
import { readFileSync, readdirSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';

const FOLDER = 'deploy/days';
/** The second kind begins up to this many seconds after the first one, so that both overlap. */
const MAX_SHIFT_S = 2;
const LENGTH_S = 22;

const [seed = NaN, count = NaN] = process.argv.slice(2).map(Number);
if (!Number.isInteger(seed) || !Number.isInteger(count)) {
  console.error('usage: node scripts/draw-day-pairs.mjs SEED COUNT');
  process.exit(2);
}

/** Pseudorandom numbers from 0 to 1 by mulberry32. */
function createRandom(start) {
  let state = start;
  return () => {
    state = (state + 0x6d2b79f5) | 0;
    let mixed = Math.imul(state ^ (state >>> 15), 1 | state);
    mixed = (mixed + Math.imul(mixed ^ (mixed >>> 7), 61 | mixed)) ^ mixed;
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 4_294_967_296;
  };
}

/** Entries of one list of a day, each as the text between its braces. */
function readEntries(text, list) {
  const body = new RegExp(`^${list} = \\[\n(.*?)^\\]`, 'ms').exec(text)?.[1] ?? '';
  return [...body.matchAll(/^ {2}\{ (.*) \},$/gm)].map(([, entry]) => entry);
}

function shift(entry, byS) {
  return entry.replace(/^at = ([\d.]+)/, (_, at) => `at = ${(Number(at) + byS).toFixed(1)}`);
}

function formatList(list, entries) {
  if (entries.length === 0) return `${list} = []\n`;
  return `${list} = [\n${entries.map((entry) => `  { ${entry} },\n`).join('')}]\n`;
}

const random = createRandom(seed);
const kinds = readdirSync(FOLDER)
  .map((file) => /^only-(.*)\.toml$/.exec(file)?.[1])
  .filter((kind) => kind !== undefined)
  .sort();
const drawnNames = new Set();
const pairCount = (kinds.length * (kinds.length - 1)) / 2;
while (drawnNames.size < Math.min(count, pairCount)) {
  const [first, second] = [0, 0].map(() => kinds[Math.floor(random() * kinds.length)]);
  const shiftS = Math.round(random() * MAX_SHIFT_S * 10) / 10;
  const daySeed = 1_000 + Math.floor(random() * 9_000);
  const name = `pair-${seed}-${[first, second].sort().join('-with-')}`;
  if (first === second || drawnNames.has(name)) continue;
  drawnNames.add(name);
  const texts = [first, second].map((kind) =>
    readFileSync(join(FOLDER, `only-${kind}.toml`), 'utf8'),
  );
  const lists = ['plan', 'faults'].map((list) => {
    const [own, other] = texts.map((text) => readEntries(text, list));
    return formatList(list, [...own, ...other.map((entry) => shift(entry, shiftS))]);
  });
  const head = `name = "${name}"\nslot = "trouble"\nseed = ${daySeed}\nlength_s = ${LENGTH_S.toFixed(1)}\n`;
  writeFileSync(join(FOLDER, `${name}.toml`), head + lists.join(''));
  console.log(name);
}
