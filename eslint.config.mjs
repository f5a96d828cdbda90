/** Airbnb style for the whole workspace, with the few departures that the house style asks for. */
import { configs, plugins } from 'eslint-config-airbnb-extended';
import prettier from 'eslint-config-prettier';

/** Departures from Airbnb, each with its reason. */
const houseStyle = {
  // Solid's habit: named exports only, listed in each package's index.
  'import-x/prefer-default-export': 'off',
  // TypeScript resolves modules; file endings are part of NodeNext imports.
  'import-x/extensions': 'off',
  'import-x/no-unresolved': 'off',
  'import-x/no-useless-path-segments': 'off',
  'n/no-missing-import': 'off',
  'n/no-unpublished-import': 'off',
  // Airbnb bans loops for the size of old transpilers' output; Node runs `for await` itself.
  'no-restricted-syntax': ['error', 'ForInStatement', 'LabeledStatement', 'WithStatement'],
  // Settings and documents are read before anything is served.
  'n/no-sync': 'off',
  // The two binaries of the workspace; the others are run by scripts.
  'n/hashbang': 'off',
  // Helpers stand below what uses them, so that a module reads from the top.
  'no-use-before-define': 'off',
  '@typescript-eslint/no-use-before-define': ['error', { functions: false, variables: false }],
};

/** Entry points decide the exit code of their process. */
const entries = {
  files: ['packages/*/src/main.ts', 'platform/src/main.ts', 'platform/test/soak/main.ts'],
  rules: { 'n/no-process-exit': 'off' },
};

const tests = {
  files: ['packages/*/test/**', 'platform/test/**'],
  rules: {
    'import-x/no-extraneous-dependencies': 'off',
    // Stand-ins of the platform speak its protocol, so they live beside its adapter.
    'import-x/no-relative-packages': 'off',
    'n/no-unsupported-features/node-builtins': 'off',
  },
};

const scripts = {
  files: ['scripts/**', '*.mjs'],
  rules: {
    'no-console': 'off',
    'import-x/no-extraneous-dependencies': 'off',
    'n/no-process-exit': 'off',
    'n/no-unsupported-features/node-builtins': 'off',
    'no-await-in-loop': 'off',
  },
};

export default [
  { ignores: ['**/dist/**', 'build/**', 'target/**', 'node_modules/**'] },
  plugins.stylistic,
  plugins.importX,
  plugins.node,
  plugins.typescriptEslint,
  ...configs.base.recommended,
  ...configs.node.recommended,
  ...configs.base.typescript.map((config) => ({ ...config, files: ['**/*.ts'] })),
  prettier,
  { rules: houseStyle },
  entries,
  tests,
  scripts,
];
