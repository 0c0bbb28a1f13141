/** `tarragonspool quarantine release FINGERPRINT`. */

import { Command, Option, UsageError } from 'clipanion';
import { getExitCode } from '../exit-codes.js';
import { releasedSchema } from '../operators/answers.js';
import { OperatorCommand } from '../operators/operator-command.js';

const FINGERPRINT_PATTERN = /^[0-9a-f]{16,128}$/;

/** Lets a content run again. */
export class QuarantineReleaseCommand extends OperatorCommand {
  static override paths = [['quarantine', 'release']];

  static override usage = Command.Usage({
    category: 'Quarantine',
    description: 'Lets a request content run again.',
    examples: [['Release one', '$0 quarantine release FINGERPRINT']],
  });

  fingerprint = Option.String({ name: 'FINGERPRINT' });

  async execute(): Promise<number> {
    const { fingerprint } = this;
    if (!FINGERPRINT_PATTERN.test(fingerprint)) {
      const found = JSON.stringify(fingerprint);
      throw new UsageError(`FINGERPRINT: found ${found}; expected one of "quarantine list".`);
    }
    const answer = await this.call({
      path: '/quarantine/release',
      schema: releasedSchema,
      body: { fingerprint },
    });
    if (answer.kind !== 'value') return this.printFailure(answer);
    if (!answer.value.isReleased) return this.printError('not-found', 'it is not in quarantine');
    this.print(answer.value, 'released\n');
    return getExitCode('ok');
  }
}
