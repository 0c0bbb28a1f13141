/** `tarragonspool upstream drain NAME`. */

import { Command, Option, UsageError } from 'clipanion';
import { statusSchema } from '../operators/answers.js';
import { DrainEditCommand } from './drain-edit-command.js';
import { addDrainLine, hasDrainLine } from './drain-lines.js';

const ASKED_BY_PATTERN = /^[^#\r\n]{1,200}$/;

/** Gives an upstream no new work until it is undone. */
export class UpstreamDrainCommand extends DrainEditCommand {
  static override paths = [['upstream', 'drain']];

  static override usage = Command.Usage({
    category: 'Upstreams',
    description: 'Gives an engine or server no new work; work in flight goes on.',
    details: 'Adds a `drain` line to the rules, so it stays in force until it is undone.',
    examples: [['Drain an engine', '$0 upstream drain declaration-llm-2 --by Nimal']],
  });

  askedBy = Option.String('--by', {
    required: true,
    description: 'Who asked, for the comment of the line.',
  });

  async execute(): Promise<number> {
    const name = this.checkName();
    if (!ASKED_BY_PATTERN.test(this.askedBy)) throw new UsageError('--by: expected a name.');
    const status = await this.call({ path: '/status', schema: statusSchema });
    if (status.kind !== 'value') return this.printFailure(status);
    const upstreams = [...status.value.engines, ...status.value.servers];
    if (!upstreams.some(({ upstreamId }) => upstreamId === name)) {
      return this.printError('not-found', `no upstream ${name}. Run "tarragonspool status".`);
    }
    return this.changeRules(this.askedBy, (text) =>
      hasDrainLine(text, name) ? undefined : addDrainLine(text, name, this.askedBy),
    );
  }
}
