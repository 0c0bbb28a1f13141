/** Bundles the daemon for the users' platform into one file under target/. */

import { build } from 'esbuild';
import { BUNDLE_OPTIONS } from './bundle-options.js';

await build({
  ...BUNDLE_OPTIONS,
  entryPoints: ['platform/src/main.ts'],
  outfile: 'target/tarragonspoold.mjs',
});
