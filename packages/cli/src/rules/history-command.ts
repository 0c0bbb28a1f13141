/** `tarragonspool rules history`. */

import { Command } from 'clipanion';
import { getExitCode } from '../exit-codes.js';
import { historySchema } from '../operators/answers.js';
import { formatTime, renderTable } from '../output/table.js';
import { RulesCommand } from './rules-command.js';

const DIGEST_LENGTH = 12;

/** Lists accepted revisions. */
export class RulesHistoryCommand extends RulesCommand {
  static override paths = [['rules', 'history']];

  static override usage = Command.Usage({
    category: 'Rules',
    description: 'Lists the accepted revisions, newest first.',
    examples: [['List them as JSON', '$0 rules history --json']],
  });

  async execute(): Promise<number> {
    const answer = await this.call({ path: '/rules/history', schema: historySchema });
    if (answer.kind !== 'value') return this.printFailure(answer);
    const rows = answer.value.revisions.map((entry) => [
      entry.revision,
      formatTime(entry.acceptedAt),
      entry.vmId,
      entry.digest.slice(0, DIGEST_LENGTH),
      entry.editId,
    ]);
    const headings = ['REVISION', 'ACCEPTED', 'BY VM', 'DIGEST', 'EDIT'];
    this.print(answer.value, renderTable(headings, rows));
    return getExitCode('ok');
  }
}
