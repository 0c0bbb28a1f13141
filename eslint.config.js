import prettier from 'eslint-config-prettier';
import { configs, plugins } from 'eslint-config-airbnb-extended';

const packageDirs = ['protocol', 'core', 'platform', 'router', 'cli', 'stand-ins'].map(
  (name) => `packages/${name}`,
);

const restrictedSyntax = [
  // Airbnb also restricts `for of`; the house style asks for it.
  {
    selector: 'ForInStatement',
    message: 'Use Object.keys, Object.values or Object.entries.',
  },
  { selector: 'LabeledStatement', message: 'Labels make code hard to follow.' },
  { selector: 'WithStatement', message: '`with` is not allowed in strict mode.' },
];

export default [
  {
    ignores: [
      '**/dist/**',
      '**/node_modules/**',
      '**/bin/**',
      '**/target/**',
      'journal/**',
      'eslint.config.js',
    ],
  },
  { linterOptions: { reportUnusedDisableDirectives: 'error' } },
  plugins.stylistic,
  plugins.importX,
  plugins.node,
  plugins.typescriptEslint,
  ...configs.base.recommended,
  ...configs.base.typescript,
  ...configs.node.recommended,
  // Prettier, set to Airbnb's style, decides on layout.
  prettier,
  {
    files: ['**/*.ts'],
    languageOptions: {
      parserOptions: { projectService: true, tsconfigRootDir: import.meta.dirname },
    },
    rules: {
      'no-restricted-syntax': ['error', ...restrictedSyntax],
      // Early exits from loops are part of the house style.
      'no-continue': 'off',
      // Named exports only.
      'import-x/prefer-default-export': 'off',
      // State machines own their state and change it in place.
      'no-param-reassign': ['error', { props: false }],
      // Node resolves modules by their full file name.
      'import-x/extensions': ['error', 'always', { ignorePackages: true, checkTypeImports: true }],
      'import-x/no-extraneous-dependencies': [
        'error',
        { devDependencies: ['**/*.test.ts'], packageDir: ['.', ...packageDirs, 'platform'] },
      ],
      // The product does not know the platform: the adapter imports it, never the other way.
      'import-x/no-restricted-paths': [
        'error',
        { zones: [{ target: './packages', from: './platform' }], basePath: import.meta.dirname },
      ],
      curly: ['error', 'multi-line'],
      // Filters are tasks even where they wait for nothing.
      'require-yield': 'off',
      // House style: type aliases rather than interfaces.
      '@typescript-eslint/consistent-type-definitions': ['error', 'type'],
      // The daemon ends its own process on purpose.
      'n/no-process-exit': 'off',
      'n/hashbang': 'off',
      'n/no-unsupported-features/node-builtins': [
        'error',
        { version: '>=20.20.0', ignores: ['fetch', 'Response', 'Request'] },
      ],
      'n/no-unsupported-features/es-syntax': ['error', { version: '>=20.20.0' }],
      '@typescript-eslint/no-explicit-any': 'error',
      '@typescript-eslint/switch-exhaustiveness-check': [
        'error',
        { considerDefaultExhaustiveForUnions: true },
      ],
      '@typescript-eslint/no-floating-promises': 'error',
    },
  },
  {
    files: ['**/*.test.ts'],
    languageOptions: { globals: { it: 'readonly', before: 'readonly', after: 'readonly' } },
  },
];
