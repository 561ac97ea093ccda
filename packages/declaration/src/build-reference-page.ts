import { declarationSchema } from './declaration-schema.js';
import { describeSchema } from './describe-schema.js';
import { entrySettingsSchema } from './entry-settings-schema.js';
import { jobSpecSchema } from './job-spec-schema.js';
import type { Schema } from './schema.js';
import { standInSettingsSchema } from './stand-in-settings-schema.js';
import { textFormats } from './text-formats.js';

const introduction = `# Declaration, settings and job files

This page is generated from the schemas in \`packages/declaration/src\`. To regenerate it: \`npx tsx packages/declaration/src/write-reference-page.ts\`.

All files are JSON with comments (\`//\` and \`/* … */\`) and may have trailing commas. Unknown fields are rejected. Units are part of the field names: \`Ms\` milliseconds, \`Mib\` mebibytes, \`PerMille\` thousandths, \`Percent\` hundredths. \`acaciahoist check FILE\` reports all faults of a file with line and column.
`;

/** Builds the text of docs/declaration.md from the schemas. */
export function buildReferencePage(): string {
  const records: readonly [string, Extract<Schema, { type: 'record' }>][] = [
    ['Declaration', declarationSchema],
    ['Job', jobSpecSchema],
    ['Settings of an entry process', entrySettingsSchema],
    ['Settings of the stand-in', standInSettingsSchema],
  ];
  const formats = Object.values(textFormats).map(
    ({ name, rule, example }) => `| ${name} | ${rule} | \`${example}\` |`,
  );
  return [
    introduction,
    ...records.map(([title, schema]) => describeSchema(title, schema)),
    ['## Forms of texts', '', '| type | form | example |', '|---|---|---|', ...formats, ''].join(
      '\n',
    ),
  ].join('\n');
}
