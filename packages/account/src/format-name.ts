/**
 * Formats a name for report lines: unchanged, or as a JSON string when it has ambiguous characters.
 */
export function formatName(name: string): string {
  return /^[A-Za-z0-9][A-Za-z0-9._:/-]*$/.test(name) ? name : JSON.stringify(name);
}
