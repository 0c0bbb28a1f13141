/**
 * Bundles the daemon for the users' platform into one file under target/. The file is replaced at once: tests that
 * run side by side build it too, and one may start it meanwhile.
 */

import { rename } from 'node:fs/promises';
import { build } from 'esbuild';
import { BUNDLE_OPTIONS } from './bundle-options.js';

const OUTFILE = 'target/tarragonspoold.mjs';
const scratch = `target/tarragonspoold-${process.pid}.mjs`;

await build({ ...BUNDLE_OPTIONS, entryPoints: ['platform/src/main.ts'], outfile: scratch });
await rename(scratch, OUTFILE);
