/** `tarragonspool quarantine list`. */

import { Command } from 'clipanion';
import { getExitCode } from '../exit-codes.js';
import { quarantineSchema } from '../operators/answers.js';
import { OperatorCommand } from '../operators/operator-command.js';
import { formatTime, renderTable } from '../output/table.js';

/** Lists contents that are refused because they crashed upstreams. */
export class QuarantineListCommand extends OperatorCommand {
  static override paths = [['quarantine', 'list']];

  static override usage = Command.Usage({
    category: 'Quarantine',
    description: 'Lists request contents that crashed upstreams and are refused.',
    examples: [['List them', '$0 quarantine list']],
  });

  async execute(): Promise<number> {
    const answer = await this.call({ path: '/quarantine', schema: quarantineSchema });
    if (answer.kind !== 'value') return this.printFailure(answer);
    const rows = answer.value.entries.map((entry) => [
      entry.fingerprint,
      entry.crashes,
      entry.lastUpstream,
      formatTime(entry.expiresAt),
    ]);
    this.print(answer.value, renderTable(['FINGERPRINT', 'CRASHES', 'LAST', 'UNTIL'], rows));
    return getExitCode('ok');
  }
}
