/** `tarragonspool configuration check FILE`. */

import { Command, Option, type CommandClass } from 'clipanion';
import { getExitCode } from '../exit-codes.js';
import { buildCheckReport, countFindings, renderCheckReport } from './check-report.js';
import {
  readConfigurationFile,
  type DecodeConfiguration,
  type FileResult,
} from './configuration-file.js';

/** Makes the command that checks a configuration before it is sent, with the decoder of the daemon. */
export function makeConfigurationCheckCommand(decode: DecodeConfiguration): CommandClass {
  return class ConfigurationCheckCommand extends Command {
    static override paths = [['configuration', 'check']];

    static override usage = Command.Usage({
      category: 'Configuration',
      description: "Checks a file of the platform's configuration without a daemon.",
      details:
        'Prints errors, warnings and the differences from the configuration in force. Only errors change the exit code.',
      examples: [
        ['Check a file', '$0 configuration check next.json'],
        [
          'Compare it with the one in force, too',
          '$0 configuration check next.json --in-force now.json',
        ],
      ],
    });

    json = Option.Boolean('--json', false, { description: 'Prints JSON for scripts.' });

    inForce = Option.String('--in-force', {
      description: 'File of the configuration in force.',
    });

    file = Option.String({ name: 'FILE' });

    async execute(): Promise<number> {
      const file = await readConfigurationFile(this.file, decode);
      if (file.kind === 'unreadable') return this.printUnreadable(this.file, file);
      const inForce =
        this.inForce === undefined ? undefined : await readConfigurationFile(this.inForce, decode);
      if (inForce?.kind === 'unreadable') return this.printUnreadable(this.inForce ?? '', inForce);
      const report = buildCheckReport(file, inForce);
      const errors = countFindings(report, 'error');
      const shown = { errors, warnings: countFindings(report, 'warning'), ...report };
      this.context.stdout.write(
        this.json ? `${JSON.stringify(shown, undefined, 2)}\n` : renderCheckReport(report),
      );
      return getExitCode(errors === 0 ? 'ok' : 'bad-rules');
    }

    printUnreadable(path: string, { detail }: Extract<FileResult, { kind: 'unreadable' }>): number {
      this.context.stderr.write(`cannot read ${path}: ${detail}. Check the path.\n`);
      return getExitCode('no-input');
    }
  };
}
