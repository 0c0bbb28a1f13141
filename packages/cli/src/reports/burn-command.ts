/** `tarragonspool report burn`. */

import { writeFile } from 'node:fs/promises';
import { Command, Option } from 'clipanion';
import { getExitCode } from '../exit-codes.js';
import { statusSchema } from '../operators/answers.js';
import { OperatorCommand, type FailedAnswer } from '../operators/operator-command.js';
import { renderBurnHtml } from './burn-html.js';
import { burnSchema, mergeBurn, type BurnAnswer, type BurnReport } from './burn-merge.js';
import { renderBurnText } from './burn-text.js';

/** Reports how fast callers and services use up their error budgets. */
export class ReportBurnCommand extends OperatorCommand {
  static override paths = [['report', 'burn']];

  static override usage = Command.Usage({
    category: 'Reports',
    description: 'Reports service-level burn for each caller and service.',
    details: `
      Asks every daemon given and merges their counts. Name every daemon with \`--url\`: what a VM
      that did not answer, or was restarted, has not counted is shown as missing.
    `,
    examples: [
      ['Print the report', '$0 report burn --url http://IP:port,http://IP:port'],
      ['Write a page with plots', '$0 report burn --html burn.html'],
    ],
  });

  html = Option.String('--html', { description: 'Writes one HTML page to this file.' });

  async execute(): Promise<number> {
    const answers = await this.callAll({ path: '/burn', schema: burnSchema });
    const values = answers.flatMap((answer) => (answer.kind === 'value' ? [answer.value] : []));
    const failed = answers.filter((answer): answer is FailedAnswer => answer.kind !== 'value');
    const codes = failed.map((answer) => this.printFailure(answer));
    if (values.length === 0) return codes[0] ?? getExitCode('unreachable');
    const missing = await this.listMissing(values, failed.length);
    return this.printReport(mergeBurn(values, missing));
  }

  /** Names the listed VMs that gave no counts. */
  private async listMissing(values: readonly BurnAnswer[], failed: number): Promise<string[]> {
    const status = await this.call({ path: '/status', schema: statusSchema });
    const known = new Set(values.map(({ vmId }) => vmId));
    const listed = status.kind === 'value' ? status.value.entryVms : [];
    const missing = listed.filter((vmId) => !known.has(vmId));
    for (let count = missing.length; count < failed; count += 1) missing.push('unknown VM');
    return missing;
  }

  private async printReport(report: BurnReport): Promise<number> {
    if (this.html === undefined) {
      this.print(report, renderBurnText(report));
      return getExitCode('ok');
    }
    try {
      await writeFile(this.html, renderBurnHtml(report));
    } catch (error) {
      const { code } = error as NodeJS.ErrnoException;
      return this.printError('no-input', `cannot write ${this.html}: ${code}`);
    }
    this.print({ file: this.html }, `wrote ${this.html}\n`);
    return getExitCode('ok');
  }
}
