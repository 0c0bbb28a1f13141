/** Bundles the daemon for the users' platform into one file under target/. */

import { build } from 'esbuild';

const BANNER = [
  "import { createRequire as makeRequire } from 'node:module';",
  'const require = makeRequire(import.meta.url);',
].join('\n');

await build({
  entryPoints: ['platform/src/main.ts'],
  outfile: 'target/tarragonspoold.mjs',
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  banner: { js: BANNER },
  logLevel: 'warning',
});
