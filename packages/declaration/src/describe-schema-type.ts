import type { Schema } from './schema.js';

/** Describes the type of a field in words, with its range or text format. */
export function describeSchemaType(schema: Schema): string {
  switch (schema.type) {
    case 'text':
      return schema.format.name;
    case 'integer':
      return `integer ${schema.min} to ${schema.max}`;
    case 'flag':
      return 'true or false';
    case 'choice':
      return schema.values.map((value) => `"${value}"`).join(' or ');
    case 'list':
      return `list of ${schema.min} to ${schema.max}: ${describeSchemaType(schema.items)}`;
    case 'record':
      return 'record';
    case 'map':
      return `record of at most ${schema.max} fields: ${schema.keys.name} to ${describeSchemaType(schema.values)}`;
  }
}
