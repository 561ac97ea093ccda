import { describeSchemaType } from './describe-schema-type.js';
import type { Schema } from './schema.js';

type RecordSchema = Extract<Schema, { type: 'record' }>;

/** Describes the fields of a record and of the records within it in Markdown, one table for each. */
export function describeSchema(title: string, schema: RecordSchema): string {
  const sections = [describeRecord(`## ${title}`, schema)];
  const visit = (path: string, field: Schema) => {
    const inner = field.type === 'list' ? field.items : field;
    if (inner.type !== 'record') return;
    const innerPath = field.type === 'list' ? `${path}[]` : path;
    sections.push(describeRecord(`### ${title}: \`${innerPath}\``, inner));
    visitFields(`${innerPath}.`, inner);
  };
  const visitFields = (prefix: string, record: RecordSchema) => {
    for (const [name, field] of Object.entries(record.fields)) visit(`${prefix}${name}`, field);
  };
  visitFields('', schema);
  return `${sections.join('\n\n')}\n`;
}

function describeRecord(heading: string, schema: RecordSchema): string {
  const rows = Object.entries(schema.fields).map(
    ([name, field]) =>
      `| \`${name}\` | ${describeSchemaType(field)} | ${describePresence(field)} | ${field.about} |`,
  );
  const head = ['| field | type | default | meaning |', '|---|---|---|---|'];
  return [heading, '', schema.about, '', ...head, ...rows].join('\n');
}

function describePresence(field: Schema): string {
  if (field.default !== undefined) return `\`${JSON.stringify(field.default)}\``;
  return field.optional === true ? 'none' : 'required';
}
