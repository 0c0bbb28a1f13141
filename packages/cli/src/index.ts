/** Public API of the command line for platform adapters. */

export { runCli, type CliAdapter } from './run-cli.js';
