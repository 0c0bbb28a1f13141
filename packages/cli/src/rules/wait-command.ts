/** `tarragonspool rules wait REVISION`. */

import { Command, Option, UsageError } from 'clipanion';
import { IN_FORCE_TIMEOUT_MS, RulesCommand } from './rules-command.js';

const MS_PER_SECOND = 1_000;

function parseNumber(name: string, text: string): number {
  if (/^\d{1,9}$/.test(text)) return Number(text);
  throw new UsageError(`${name}: found ${JSON.stringify(text)}; expected a whole number.`);
}

/** Waits until a revision is in force everywhere. */
export class RulesWaitCommand extends RulesCommand {
  static override paths = [['rules', 'wait']];

  static override usage = Command.Usage({
    category: 'Rules',
    description: 'Waits until a revision, or a later one, is in force on every VM.',
    examples: [['Wait at most 60 seconds', '$0 rules wait 12 --timeout 60']],
  });

  timeout = Option.String('--timeout', String(IN_FORCE_TIMEOUT_MS / MS_PER_SECOND), {
    description: 'Longest wait, in seconds. Default: "19".',
  });

  revision = Option.String({ name: 'REVISION' });

  async execute(): Promise<number> {
    const revision = parseNumber('REVISION', this.revision);
    const timeout = parseNumber('--timeout', this.timeout);
    return this.awaitInForce(revision, Date.now() + timeout * MS_PER_SECOND);
  }
}
