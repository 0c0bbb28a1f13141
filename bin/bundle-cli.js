/** Bundles the command line for the users' platform into one file under target/. */

import { build } from 'esbuild';
import { BUNDLE_OPTIONS } from './bundle-options.js';

const ENTRY = 'platform/src/command-line.ts';

await build({ ...BUNDLE_OPTIONS, entryPoints: [ENTRY], outfile: 'target/tarragonspool.mjs' });
