import { writeFileSync } from 'node:fs';
import { fileURLToPath } from 'node:url';
import { buildReferencePage } from './build-reference-page.js';

const page = fileURLToPath(new URL('../../../docs/declaration.md', import.meta.url));
writeFileSync(page, buildReferencePage());
