import type { Schema } from './schema.js';

/** Schema of the settings field `log`, which all processes have. */
export const logFields = {
  type: 'record',
  fields: {
    level: {
      type: 'choice',
      values: ['debug', 'info', 'warn', 'error'],
      default: 'info',
      about: 'Lowest level of the lines written.',
    },
  },
  default: { level: 'info' },
  about: 'Log lines of the process.',
} as const satisfies Schema;
