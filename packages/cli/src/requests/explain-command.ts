/** `tarragonspool request explain ID`. */

import { Command, Option, UsageError } from 'clipanion';
import { getExitCode } from '../exit-codes.js';
import { OperatorCommand, type FailedAnswer } from '../operators/operator-command.js';
import { renderTrace, requestSchema } from './request-answer.js';

const REQUEST_ID_PATTERN = /^[A-Za-z0-9._-]{8,128}$/;

/** Shows where a request went and why it ended as it did. */
export class RequestExplainCommand extends OperatorCommand {
  static override paths = [['request', 'explain']];

  static override usage = Command.Usage({
    category: 'Requests',
    description: 'Shows where a request went, each attempt, and why it was refused.',
    details: `
      Asks every daemon given. A request is known to the VM that it arrived at, until newer requests
      take its place in memory or the daemon restarts.
    `,
    examples: [['Ask two daemons', '$0 request explain ID --url http://IP:port,http://IP:port']],
  });

  requestId = Option.String({ name: 'ID' });

  async execute(): Promise<number> {
    const { requestId } = this;
    if (!REQUEST_ID_PATTERN.test(requestId)) {
      const found = JSON.stringify(requestId);
      throw new UsageError(`ID: found ${found}; expected the x-request-id of an answer.`);
    }
    const answers = await this.callAll({ path: `/requests/${requestId}`, schema: requestSchema });
    const values = answers.flatMap((answer) => (answer.kind === 'value' ? [answer.value] : []));
    const failed = answers.filter((answer): answer is FailedAnswer => answer.kind !== 'value');
    const found = values.filter(({ requests }) => requests.length > 0);
    const codes = failed.map((answer) => this.printFailure(answer));
    if (values.length === 0) return codes[0] ?? getExitCode('unreachable');
    if (found.length === 0) {
      const names = values.map(({ vmId }) => vmId).join(', ');
      return this.printError(
        'not-found',
        `${names} does not know ${requestId}. Name the daemon that it arrived at with --url.`,
      );
    }
    const texts = found.flatMap(({ vmId, requests }) =>
      requests.map((trace) => renderTrace(vmId, trace)),
    );
    this.print(found, texts.join('\n'));
    return getExitCode('ok');
  }
}
