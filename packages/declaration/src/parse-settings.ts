import type { Result } from 'true-myth/result';
import type { Settings } from '@acaciahoist/types/settings';
import { checkEntryRelations } from './check-entry-relations.js';
import { checkStandInRelations } from './check-stand-in-relations.js';
import { checkSource } from './check-source.js';
import { entrySettingsSchema } from './entry-settings-schema.js';
import type { Fault } from './fault.js';
import type { Schema } from './schema.js';
import { standInSettingsSchema } from './stand-in-settings-schema.js';
import type { Tree } from './tree.js';
import { treeField } from './tree-field.js';

const LIMIT = { characters: 262_144, tokens: 50_000, nesting: 12 };

/** Used when the role is missing or unknown, so that the other fields are still checked. */
const unknownRoleSchema: Schema = {
  ...entrySettingsSchema,
  fields: {
    ...entrySettingsSchema.fields,
    role: { type: 'choice', values: ['entry', 'stand-in'], about: 'Kind of the process.' },
  },
};

function chooseSchema(root: Tree): Schema {
  const role = treeField.text(root, 'role');
  if (role === 'stand-in') return standInSettingsSchema;
  return role === 'entry' ? entrySettingsSchema : unknownRoleSchema;
}

/**
 * Parses and checks the settings of one process, JSON with comments, and fills in the defaults. The
 * field `role` says whether they are those of an entry process or of the stand-in.
 */
export function parseSettings(text: string, fileName: string): Result<Settings, readonly Fault[]> {
  return checkSource({ text }, fileName, LIMIT, chooseSchema, (root, faults) => {
    if (treeField.text(root, 'role') === 'stand-in') checkStandInRelations(root, faults);
    else checkEntryRelations(root, faults);
  }).map((value) => value as Settings);
}
