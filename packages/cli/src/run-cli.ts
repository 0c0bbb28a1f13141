/** Registers every command, and turns errors into one line and an exit code. */

import { Builtins, Cli, UsageError, type BaseContext } from 'clipanion';
import { makeConfigurationCheckCommand } from './configuration/check-command.js';
import type { DecodeConfiguration } from './configuration/configuration-file.js';
import { getExitCode } from './exit-codes.js';
import { QuarantineListCommand } from './quarantine/list-command.js';
import { QuarantineReleaseCommand } from './quarantine/release-command.js';
import { ReportBurnCommand } from './reports/burn-command.js';
import { RequestExplainCommand } from './requests/explain-command.js';
import { RulesApplyCommand } from './rules/apply-command.js';
import { RulesCheckCommand } from './rules/check-command.js';
import { RulesDiffCommand } from './rules/diff-command.js';
import { RulesHistoryCommand } from './rules/history-command.js';
import { RulesShowCommand } from './rules/show-command.js';
import { RulesWaitCommand } from './rules/wait-command.js';
import { StatusCommand } from './status/status-command.js';
import { UpstreamDrainCommand } from './upstreams/drain-command.js';
import { UpstreamUndrainCommand } from './upstreams/undrain-command.js';

const COMMANDS = [
  RulesCheckCommand,
  RulesShowCommand,
  RulesDiffCommand,
  RulesApplyCommand,
  RulesHistoryCommand,
  RulesWaitCommand,
  StatusCommand,
  UpstreamDrainCommand,
  UpstreamUndrainCommand,
  QuarantineListCommand,
  QuarantineReleaseCommand,
  RequestExplainCommand,
  ReportBurnCommand,
];

/** What an adapter knows of its platform; commands that need it are registered only with it. */
export type CliAdapter = { readonly decodeConfiguration: DecodeConfiguration };

/** Makes the command line. */
export function makeCli(adapter?: CliAdapter): Cli {
  const enableColors = Boolean(process.stdout.isTTY);
  const binaryName = 'tarragonspool';
  const cli = new Cli({ binaryName, binaryLabel: binaryName, enableColors });
  for (const command of COMMANDS) cli.register(command);
  if (adapter !== undefined) {
    cli.register(makeConfigurationCheckCommand(adapter.decodeConfiguration));
  }
  cli.register(Builtins.HelpCommand);
  return cli;
}

function isUsageError(error: unknown): boolean {
  if (error instanceof UsageError) return true;
  const { name } = error as { name?: string };
  return name === 'UnknownSyntaxError' || name === 'AmbiguousSyntaxError';
}

function printError(error: unknown, context: BaseContext): number {
  const [line = ''] = (error as Error).message.split('\n');
  const name = isUsageError(error) ? 'usage' : 'internal';
  const next = name === 'usage' ? 'Run "tarragonspool --help".' : 'This is a fault; report it.';
  context.stderr.write(`${line} ${next}\n`);
  return getExitCode(name);
}

/** Runs one command line; returns the exit code. */
export async function runCli(
  args: readonly string[],
  context: BaseContext = Cli.defaultContext,
  adapter?: CliAdapter,
): Promise<number> {
  const cli = makeCli(adapter);
  const input = args.length === 0 ? ['--help'] : [...args];
  let failure: number | undefined;
  try {
    const command = cli.process(input, context);
    command.catch = async (error: unknown) => {
      failure = printError(error, context);
    };
    const code = await cli.run(command, context);
    return failure ?? code;
  } catch (error) {
    return printError(error, context);
  }
}
