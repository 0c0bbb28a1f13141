#!/usr/bin/env node
/** Command line for operators. */

import { runCli } from './run-cli.js';

process.exitCode = await runCli(process.argv.slice(2));
