/** `tarragonspool rules show`. */

import { Command } from 'clipanion';
import { getExitCode } from '../exit-codes.js';
import { renderRuleText } from './rule-text.js';
import { RulesCommand } from './rules-command.js';

/** Prints the rules in force. */
export class RulesShowCommand extends RulesCommand {
  static override paths = [['rules', 'show']];

  static override usage = Command.Usage({
    category: 'Rules',
    description: 'Prints the rules in force on the daemon asked.',
    details: 'The first line names the revision; `rules apply` takes it as the base of the edit.',
    examples: [['Write the rules to a file to edit', '$0 rules show > rules.txt']],
  });

  async execute(): Promise<number> {
    const answer = await this.getRules();
    if (answer.kind !== 'value') return this.printFailure(answer);
    const { revision, text } = answer.value;
    this.print({ revision, text }, renderRuleText(revision, text));
    return getExitCode('ok');
  }
}
