/** Longer names get no suggestion: the time of one comparison grows with the product of the lengths. */
const MAX_COMPARED_CHARACTERS = 64;

/** Returns the candidate with the smallest edit distance to `name`, or undefined if none is similar. */
export function findNearestName(name: string, candidates: Iterable<string>): string | undefined {
  if (name.length > MAX_COMPARED_CHARACTERS) return undefined;
  let nearest: string | undefined;
  // A name that differs in more than half of its letters, and in more than two, is not a misspelling.
  let bestDistance = Math.max(2, Math.floor(name.length / 2)) + 1;
  for (const candidate of candidates) {
    if (Math.abs(candidate.length - name.length) >= bestDistance) continue;
    const distance = computeEditDistance(name.toLowerCase(), candidate.toLowerCase());
    if (distance >= bestDistance) continue;
    bestDistance = distance;
    nearest = candidate;
  }
  return nearest;
}

/** Computes the Levenshtein distance, row by row. */
function computeEditDistance(left: string, right: string): number {
  let row = Array.from({ length: right.length + 1 }, (_, index) => index);
  for (let leftLength = 1; leftLength <= left.length; leftLength += 1) {
    const nextRow = [leftLength];
    for (let rightLength = 1; rightLength <= right.length; rightLength += 1) {
      const substitutionCost = left[leftLength - 1] === right[rightLength - 1] ? 0 : 1;
      const substituted = (row[rightLength - 1] ?? 0) + substitutionCost;
      nextRow.push(
        Math.min(substituted, (row[rightLength] ?? 0) + 1, (nextRow[rightLength - 1] ?? 0) + 1),
      );
    }
    row = nextRow;
  }
  return row[right.length] ?? 0;
}
