import { fileURLToPath } from 'node:url';

/**
 * Returns the path of a source file relative to `base`, the `import.meta.url` of the caller, which is
 * undefined in the single-file binary.
 */
export function findSource(path: string, base: string | undefined): string {
  if (base !== undefined) return fileURLToPath(new URL(path, base));
  throw new Error(
    `the bench builds its processes from the sources and needs ${path}; run it in a checkout with "npm run bench"`,
  );
}
