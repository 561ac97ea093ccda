/**
 * Returns the seed of a randomized test and prints it with the name of the test. The default is fixed, so
 * that a run without `TEST_SEED` always has the same result.
 */
export function readTestSeed(name: string): number {
  const seed = Number(process.env.TEST_SEED ?? 20_261_204);
  console.log(`seed ${seed}: ${name}`);
  return seed;
}
