/** How the daemon is bundled into one file. */

const BANNER = [
  "import { createRequire as makeRequire } from 'node:module';",
  'const require = makeRequire(import.meta.url);',
].join('\n');

/** Options of the bundler besides what goes in and where the bundle goes. */
export const BUNDLE_OPTIONS = {
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  banner: { js: BANNER },
  logLevel: 'warning',
};
