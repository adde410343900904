import jsdoc from 'eslint-plugin-jsdoc';
import tseslint from 'typescript-eslint';
import {houseRules} from './scripts/houseRules.js';

export default tseslint.config(
  {
    ignores: [
      '**/node_modules/**',
      'dist/**',
      'target/**',
      '**/__fixtures__/**',
    ],
  },
  ...tseslint.configs.recommended,
  {
    files: ['packages/**/*.ts', 'platform/**/*.ts'],
    plugins: {jsdoc, house: houseRules},
    rules: {
      eqeqeq: 'error',
      'prefer-const': 'error',
      'no-var': 'error',
      'no-throw-literal': 'error',
      curly: ['error', 'multi-line'],
      camelcase: ['error', {properties: 'never'}],
      'new-cap': ['error', {capIsNew: false}],
      'no-restricted-syntax': [
        'error',
        {
          selector: 'TSEnumDeclaration',
          message: 'Use a constant object in place of an enum.',
        },
        {
          selector: 'ExportDefaultDeclaration',
          message: 'Use a named export.',
        },
      ],
      '@typescript-eslint/consistent-type-imports': 'error',
      '@typescript-eslint/no-unused-vars': [
        'error',
        {argsIgnorePattern: '^_', varsIgnorePattern: '^_'},
      ],
      'house/one-export': 'error',
      'house/file-name': 'error',
      'house/whole-words': 'error',
      'jsdoc/require-example': [
        'error',
        {contexts: ['ExportNamedDeclaration > FunctionDeclaration']},
      ],
      'jsdoc/require-jsdoc': [
        'error',
        {
          publicOnly: true,
          contexts: [
            'ExportNamedDeclaration > TSTypeAliasDeclaration',
            'ExportNamedDeclaration > TSInterfaceDeclaration',
            'ExportNamedDeclaration > VariableDeclaration',
          ],
          require: {FunctionDeclaration: true},
        },
      ],
    },
  },
  {
    // To be renamed in a commit of its own: every package imports it.
    files: ['packages/hickorywharf-types/src/record.ts'],
    rules: {'house/file-name': 'off'},
  },
  {
    files: ['packages/*-decisions/src/**/*.ts'],
    ignores: ['**/__tests__/**'],
    rules: {
      'no-restricted-globals': ['error', 'setTimeout', 'setInterval', 'fetch'],
      'no-restricted-properties': [
        'error',
        {object: 'Math', property: 'random'},
        {object: 'Date', property: 'now'},
        {object: 'performance', property: 'now'},
      ],
    },
  },
  {
    files: ['**/__tests__/**/*.ts'],
    rules: {'jsdoc/require-jsdoc': 'off', 'jsdoc/require-example': 'off'},
  },
);
