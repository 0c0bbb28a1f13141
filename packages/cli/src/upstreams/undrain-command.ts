/** `tarragonspool upstream undrain NAME`. */

import { Command, Option } from 'clipanion';
import { DrainEditCommand } from './drain-edit-command.js';
import { hasDrainLine, removeDrainLine } from './drain-lines.js';

/** Lets a drained upstream take work again. */
export class UpstreamUndrainCommand extends DrainEditCommand {
  static override paths = [['upstream', 'undrain']];

  static override usage = Command.Usage({
    category: 'Upstreams',
    description: 'Lets a drained engine or server take work again.',
    examples: [['Undo a drain', '$0 upstream undrain declaration-llm-2']],
  });

  author = Option.String('--by', 'unknown', {
    env: 'USER',
    description: 'Who made the edit, for the history.',
  });

  async execute(): Promise<number> {
    const name = this.checkName();
    return this.changeRules(this.author, (text) =>
      hasDrainLine(text, name) ? removeDrainLine(text, name) : undefined,
    );
  }
}
