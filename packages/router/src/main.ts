#!/usr/bin/env node
/** Command line of the daemon. */

import { Builtins, Cli, Command, Option } from 'clipanion';
import { startDaemon } from './daemon/daemon.js';
import { makeLogger, type Logger } from './logging/logger.js';
import { checkSettings } from './settings/check-settings.js';
import {
  listSettingNames,
  makeFlag,
  makeVariable,
  SETTINGS,
  type RawSettings,
} from './settings/settings.js';
import { checkTlsFiles } from './settings/tls-settings.js';

const EXIT_USAGE = 64;
const EXIT_INTERNAL = 70;
const EXIT_CANNOT_LISTEN = 71;
const EXIT_BAD_SETTINGS = 78;

type SystemError = NodeJS.ErrnoException & { readonly address?: string; readonly port?: number };

/** Ends the process. Errors of listeners arrive here because each part owns its listener. */
function handleUncaught(error: SystemError, logger: Logger): void {
  if (error.syscall !== 'listen') {
    logger.fatal({ err: error }, 'daemon: unexpected error');
    process.exit(EXIT_INTERNAL);
  }
  const { address, port, code } = error;
  const advice = 'Choose an address of this VM that no other process uses.';
  process.stderr.write(`cannot listen on ${address}:${port}: ${code}. ${advice}\n`);
  process.exit(EXIT_CANNOT_LISTEN);
}

class RunCommand extends Command {
  static override paths = [Command.Default];

  static override usage = Command.Usage({
    description: 'Runs the router daemon.',
    details: 'Every flag may also be given by its environment variable; the flag goes first.',
    examples: [['Check the settings of the environment', '$0 --check-settings']],
  });

  checkOnly = Option.Boolean('--check-settings', false, {
    description: 'Checks the settings and exits.',
  });

  constructor() {
    super();
    const options: Record<string, unknown> = {};
    for (const name of listSettingNames()) {
      const { description, fallback } = SETTINGS[name];
      const env = makeVariable(name);
      const shown = fallback === undefined ? description : `${description} Default: "${fallback}".`;
      options[name] = Option.String(makeFlag(name), { env, description: `${shown} (${env})` });
    }
    Object.assign(this, options);
  }

  async execute(): Promise<number | undefined> {
    const checked = checkSettings(this as unknown as RawSettings);
    const errors = checked.kind === 'errors' ? checked.errors : checkTlsFiles(checked.settings);
    if (checked.kind === 'errors' || errors.length > 0) {
      for (const error of errors) this.context.stderr.write(`8001 ${error}\n`);
      return EXIT_BAD_SETTINGS;
    }
    if (this.checkOnly) {
      this.context.stdout.write('settings are valid\n');
      return 0;
    }
    const logger = makeLogger(checked.settings);
    process.on('uncaughtException', (error) => handleUncaught(error, logger));
    const daemon = startDaemon(checked.settings, logger);
    let isStopping = false;
    const stop = (): void => {
      // A repeated signal must not cut the requests that the first one waits for.
      if (!isStopping) daemon.stop(() => process.exit(0));
      isStopping = true;
    };
    process.on('SIGTERM', stop);
    process.on('SIGINT', stop);
    return undefined;
  }
}

async function runCli(args: string[]): Promise<number> {
  const enableColors = Boolean(process.stdout.isTTY);
  const binaryName = 'tarragonspoold';
  const cli = new Cli({ binaryName, binaryLabel: 'tarragonspool daemon', enableColors });
  cli.register(RunCommand);
  cli.register(Builtins.HelpCommand);
  try {
    return await cli.run(cli.process(args, Cli.defaultContext), Cli.defaultContext);
  } catch (error) {
    const [line] = (error as Error).message.split('\n');
    process.stderr.write(`${line} Run tarragonspoold --help.\n`);
    return EXIT_USAGE;
  }
}

process.exitCode = await runCli(process.argv.slice(2));
