/** `tarragonspool rules history`. */

import { Command, Option } from 'clipanion';
import { getExitCode } from '../exit-codes.js';
import { historySchema, type RevisionAnswer } from '../operators/answers.js';
import { formatCell, formatTime, renderTable } from '../output/table.js';
import { RulesCommand } from './rules-command.js';

function formatChange({ change }: RevisionAnswer): string {
  if (change.kind === 'snapshot') return 'whole file';
  let [removed, added] = [0, 0];
  for (const hunk of change.hunks) {
    removed += hunk.removed.length;
    added += hunk.added.length;
  }
  return `-${removed} +${added}`;
}

function listLines({ change }: RevisionAnswer): string[] {
  if (change.kind === 'snapshot') return [];
  return change.hunks.flatMap(({ removed, added }) => [
    ...removed.map((line) => `  - ${formatCell(line)}`),
    ...added.map((line) => `  + ${formatCell(line)}`),
  ]);
}

/** Lists accepted revisions. */
export class RulesHistoryCommand extends RulesCommand {
  static override paths = [['rules', 'history']];

  static override usage = Command.Usage({
    category: 'Rules',
    description: 'Lists the latest accepted revisions, newest first.',
    examples: [['Show the changed lines too', '$0 rules history --lines']],
  });

  hasLines = Option.Boolean('--lines', false, { description: 'Shows the changed lines.' });

  async execute(): Promise<number> {
    const answer = await this.call({ path: '/rules/history', schema: historySchema });
    if (answer.kind !== 'value') return this.printFailure(answer);
    const history = answer.value.history.toReversed();
    const rows = history.map((entry) => [
      entry.revision,
      formatTime(entry.acceptedAt),
      entry.author,
      formatChange(entry),
      entry.editId,
    ]);
    const table = renderTable(['REVISION', 'ACCEPTED', 'BY', 'CHANGE', 'EDIT'], rows);
    const lines = history.flatMap((entry) => [`revision ${entry.revision}:`, ...listLines(entry)]);
    this.print(history, this.hasLines ? `${table}\n${lines.join('\n')}\n` : table);
    return getExitCode('ok');
  }
}
