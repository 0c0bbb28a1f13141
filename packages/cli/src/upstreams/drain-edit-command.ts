/** What draining and its undoing share: an edit of the rules that is made again after a race. */

import { Option, UsageError } from 'clipanion';
import { IN_FORCE_TIMEOUT_MS, RulesCommand } from '../rules/rules-command.js';

const MAX_TRIES = 8;
const NAME_PATTERN = /^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$/;

/** Makes the new rules from those in force; undefined where there is nothing to change. */
export type ChangeRules = (text: string) => string | undefined;

/** Base of the commands that change one `drain` line. */
export abstract class DrainEditCommand extends RulesCommand {
  upstream = Option.String({ name: 'UPSTREAM' });

  protected checkName(): string {
    if (NAME_PATTERN.test(this.upstream)) return this.upstream;
    const found = JSON.stringify(this.upstream);
    throw new UsageError(`UPSTREAM: found ${found}; expected a name that "status" lists.`);
  }

  /** Applies a change to the newest rules, again after each edit that came first. */
  protected async changeRules(author: string, change: ChangeRules): Promise<number> {
    for (let tries = 1; ; tries += 1) {
      // eslint-disable-next-line no-await-in-loop -- each try needs the newest rules
      const current = await this.getRules();
      if (current.kind !== 'value') return this.printFailure(current);
      const { revision: baseRevision } = current.value;
      const text = change(current.value.text);
      if (text === undefined) {
        return this.awaitInForce(baseRevision, Date.now() + IN_FORCE_TIMEOUT_MS);
      }
      // eslint-disable-next-line no-await-in-loop -- each try needs the newest rules
      const answer = await this.postEdit({ baseRevision, author, text });
      if (answer.kind === 'value') {
        return this.awaitInForce(answer.value.revision, Date.now() + IN_FORCE_TIMEOUT_MS);
      }
      const isStale = answer.kind === 'problem' && answer.problem.name === 'stale-revision';
      if (!isStale || tries >= MAX_TRIES) return this.printFailure(answer);
    }
  }
}
