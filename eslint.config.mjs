import js from '@eslint/js';
import tseslint from 'typescript-eslint';
import { layerOrder } from './lint/layer-order.mjs';
import { oneExport } from './lint/one-export.mjs';

const clockOnly = 'Take the time from a Clock (package "clock").';

export default tseslint.config(
  { ignores: ['**/node_modules/**', 'dist/**', 'target/**', '**/*.mjs'] },
  js.configs.recommended,
  ...tseslint.configs.strictTypeChecked,
  ...tseslint.configs.stylisticTypeChecked,
  {
    languageOptions: {
      parserOptions: { projectService: true, tsconfigRootDir: import.meta.dirname },
    },
    plugins: { house: { rules: { 'one-export': oneExport, 'layer-order': layerOrder } } },
    rules: {
      'house/one-export': 'error',
      'house/layer-order': 'error',
      '@typescript-eslint/restrict-template-expressions': [
        'error',
        { allowNumber: true, allowBoolean: true },
      ],
      '@typescript-eslint/consistent-type-imports': 'error',
      '@typescript-eslint/naming-convention': [
        'error',
        {
          selector: 'default',
          format: ['camelCase', 'PascalCase', 'UPPER_CASE'],
          leadingUnderscore: 'allow',
        },
        { selector: 'typeLike', format: ['PascalCase'] },
        {
          selector: ['objectLiteralProperty', 'objectLiteralMethod', 'typeProperty', 'import'],
          format: null,
        },
      ],
      'no-restricted-syntax': [
        'error',
        { selector: 'TSEnumDeclaration', message: 'Use a constant object.' },
      ],
    },
  },
  {
    files: ['packages/*/src/**/*.ts'],
    ignores: ['packages/clock/**'],
    rules: {
      'no-restricted-globals': [
        'error',
        ...['setTimeout', 'setInterval', 'Date', 'performance'].map((name) => ({
          name,
          message: clockOnly,
        })),
      ],
    },
  },
  {
    files: ['**/*.test.ts'],
    rules: { '@typescript-eslint/no-floating-promises': 'off' },
  },
);
