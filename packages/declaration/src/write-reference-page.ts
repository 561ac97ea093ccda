import { writeFileSync } from 'node:fs';
import { fileURLToPath } from 'node:url';
import { buildReferencePage } from './build-reference-page.js';

// Writes the reference page of the declaration, settings and job files.
const pagePath = fileURLToPath(new URL('../../../docs/declaration.md', import.meta.url));
writeFileSync(pagePath, buildReferencePage());
