/** `tarragonspool rules check FILE`. */

import { Command, Option } from 'clipanion';
import { getExitCode } from '../exit-codes.js';
import { readRuleFile } from './rule-text.js';

/** Checks a rule file without a daemon. */
export class RulesCheckCommand extends Command {
  static override paths = [['rules', 'check']];

  static override usage = Command.Usage({
    category: 'Rules',
    description: 'Checks a rule file without a daemon.',
    details: 'Prints each bad line with its number and what was expected.',
    examples: [['Check a file', '$0 rules check rules.txt']],
  });

  json = Option.Boolean('--json', false, { description: 'Prints JSON for scripts.' });

  file = Option.String({ name: 'FILE' });

  async execute(): Promise<number> {
    const result = await readRuleFile(this.file);
    const { stdout, stderr } = this.context;
    if (result.kind === 'unreadable') {
      stderr.write(`cannot read ${this.file}: ${result.detail}\n`);
      return getExitCode('no-input');
    }
    const errors = result.kind === 'errors' ? result.errors : [];
    const rules = result.kind === 'rules' ? result.rules.length : 0;
    if (this.json) stdout.write(`${JSON.stringify({ rules, errors }, undefined, 2)}\n`);
    else if (errors.length === 0) stdout.write(`${rules} rules, no errors\n`);
    for (const { line, found, expected } of this.json ? [] : errors) {
      stderr.write(`${this.file}:${line}: found ${JSON.stringify(found)}; expected ${expected}\n`);
    }
    return getExitCode(errors.length === 0 ? 'ok' : 'bad-rules');
  }
}
