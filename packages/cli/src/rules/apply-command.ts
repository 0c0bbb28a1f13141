/** `tarragonspool rules apply FILE`. */

import { Command, Option, UsageError } from 'clipanion';
import { getExitCode } from '../exit-codes.js';
import { readRuleFile, type RuleText } from './rule-text.js';
import { IN_FORCE_TIMEOUT_MS, RulesCommand } from './rules-command.js';

/** Replaces the rule file. */
export class RulesApplyCommand extends RulesCommand {
  static override paths = [['rules', 'apply']];

  static override usage = Command.Usage({
    category: 'Rules',
    description: 'Replaces the rules with a file.',
    details: `
      The file replaces every rule. An edit is taken only if its base is the revision in force: the
      revision of \`--base\`, else the one that the first line of \`rules show\` names, else the
      revision in force at the moment. The lines of an edit that came first are shown. Waits until every VM has the new revision in force.
    `,
    examples: [
      ['Apply a file made with "rules show"', '$0 rules apply rules.txt'],
      ['Apply a file as the edit of revision 12', '$0 rules apply rules.txt --base 12'],
    ],
  });

  base = Option.String('--base', { description: 'Revision that the file was made from.' });

  author = Option.String('--by', 'unknown', {
    env: 'USER',
    description: 'Who made the edit, for the history.',
  });

  isWaiting = Option.Boolean('--wait', true, { description: 'Waits until in force everywhere.' });

  file = Option.String({ name: 'FILE' });

  async execute(): Promise<number> {
    const result = await readRuleFile(this.file);
    if (result.kind !== 'rules') return this.printBadFile(this.file, result);
    const current = await this.getRules();
    if (current.kind !== 'value') return this.printFailure(current);
    const baseRevision = this.findBase(result.file) ?? current.value.revision;
    const { text } = result.file;
    const answer = await this.postEdit({ baseRevision, author: this.author, text });
    if (answer.kind !== 'value') return this.printFailure(answer);
    const { revision } = answer.value;
    if (revision < current.value.revision) {
      return this.printError(
        'refused',
        `this edit was accepted before, as revision ${revision}; revision ${current.value.revision} ` +
          'replaced it. Run "tarragonspool rules diff FILE".',
      );
    }
    if (!this.json || !this.isWaiting) {
      this.print({ revision }, `accepted as revision ${revision}\n`);
    }
    if (!this.isWaiting) return getExitCode('ok');
    return this.awaitInForce(revision, Date.now() + IN_FORCE_TIMEOUT_MS);
  }

  private findBase(file: RuleText): number | undefined {
    if (this.base === undefined) return file.baseRevision;
    if (/^\d{1,15}$/.test(this.base)) return Number(this.base);
    throw new UsageError(`--base: found ${JSON.stringify(this.base)}; expected a revision number.`);
  }
}
