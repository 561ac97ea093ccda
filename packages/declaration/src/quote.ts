/** Keeps a fault on one line of a terminal, however long the quoted value is. */
const MAX_QUOTED_CHARACTERS = 48;

/** Formats a value as JSON, which escapes line breaks, and shortens a long text. */
export function quote(value: string | number | boolean | null): string {
  if (typeof value !== 'string') return String(value);
  const characters = Array.from(value.slice(0, 2 * MAX_QUOTED_CHARACTERS));
  const shown = characters.slice(0, MAX_QUOTED_CHARACTERS).join('');
  return JSON.stringify(shown.length < value.length ? `${shown}…` : shown);
}
