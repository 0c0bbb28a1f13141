/** `tarragonspool rules diff FILE`. */

import { Command, Option } from 'clipanion';
import { getExitCode } from '../exit-codes.js';
import { compareRules, renderDiff } from './rule-diff.js';
import { readRuleFile } from './rule-text.js';
import { RulesCommand } from './rules-command.js';

/** Compares a file with the rules in force. */
export class RulesDiffCommand extends RulesCommand {
  static override paths = [['rules', 'diff']];

  static override usage = Command.Usage({
    category: 'Rules',
    description: 'Compares a file with the rules in force.',
    details: 'Lines that are in force only start with "-", lines of the file only with "+".',
    examples: [['See what an edit would change', '$0 rules diff rules.txt']],
  });

  file = Option.String({ name: 'FILE' });

  async execute(): Promise<number> {
    const result = await readRuleFile(this.file);
    if (result.kind !== 'rules') return this.printBadFile(this.file, result);
    const answer = await this.getRules();
    if (answer.kind !== 'value') return this.printFailure(answer);
    const { revision, text } = answer.value;
    const diff = compareRules(text, result.file.text);
    const isSame = diff.removed.length === 0 && diff.added.length === 0;
    const shown = isSame ? `no difference from revision ${revision}\n` : renderDiff(diff);
    this.print({ revision, ...diff }, shown);
    return getExitCode(isSame ? 'ok' : 'different');
  }
}
