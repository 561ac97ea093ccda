/** Factors from other units to the unit of the fields whose names match the pattern. */
const units: readonly { namePattern: RegExp; factors: Readonly<Record<string, number>> }[] = [
  {
    namePattern: /Ms$/,
    factors: { ms: 1, s: 1000, m: 60_000, min: 60_000, h: 3_600_000, d: 86_400_000 },
  },
  {
    namePattern: /Mib$/,
    factors: { mib: 1, m: 1, mb: 1, gib: 1024, g: 1024, gb: 1024, tib: 1_048_576 },
  },
  {
    namePattern: /Bytes$/,
    factors: { b: 1, k: 1024, kib: 1024, kb: 1024, m: 1_048_576, mib: 1_048_576 },
  },
  { namePattern: /PerMille$/, factors: { '%': 10, '‰': 1 } },
  { namePattern: /Percent$/, factors: { '%': 1 } },
  { namePattern: /^millicores$/, factors: { '': 1000, m: 1, core: 1000, cores: 1000 } },
];

/**
 * Suggests a correction for a value that was written with a unit, such as `"5s"` for a field that ends
 * in `Ms`: the number in the unit of the field. Returns undefined if no unit is recognized.
 */
export function suggestConversion(
  fieldName: string,
  value: string | number | boolean | null,
): string | undefined {
  const targetUnit = units.find(({ namePattern }) => namePattern.test(fieldName));
  if (targetUnit === undefined || typeof value === 'boolean' || value === null) return undefined;
  const match = /^([0-9]{1,12}(?:\.[0-9]{1,6})?) ?([a-z%‰]{0,5})$/i.exec(String(value));
  const [, amount, givenUnit = ''] = match ?? [];
  if (amount === undefined) return undefined;
  const factor = targetUnit.factors[givenUnit.toLowerCase()];
  if (factor === undefined) return undefined;
  const converted = Math.round(Number(amount) * factor);
  return `the unit is part of the field name: write ${converted}`;
}
