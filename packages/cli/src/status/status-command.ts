/** `tarragonspool status`. */

import { Command } from 'clipanion';
import { getExitCode } from '../exit-codes.js';
import { statusSchema, type StatusAnswer } from '../operators/answers.js';
import { OperatorCommand, type FailedAnswer } from '../operators/operator-command.js';
import { formatTime, renderTable } from '../output/table.js';

function formatState(isLeaving: boolean): string {
  return isLeaving ? 'leaving' : 'live';
}

function renderVms(status: StatusAnswer): string {
  const peers = new Map(status.peers.map((peer) => [peer.vmId, peer]));
  const names = [...new Set([status.vmId, ...status.entryVms, ...peers.keys()])].sort();
  const rows = names.map((vmId) => {
    if (vmId === status.vmId) {
      return [vmId, formatState(status.isLeaving), status.rulesRevision, 'asked'];
    }
    const peer = peers.get(vmId);
    if (peer === undefined) return [vmId, 'not heard', undefined, undefined];
    return [vmId, formatState(peer.isLeaving), peer.rulesRevision, formatTime(peer.heardAt)];
  });
  return renderTable(['VM', 'STATE', 'RULES', 'HEARD'], rows);
}

function renderUpstreams(status: StatusAnswer): string {
  const rows = [...status.engines, ...status.servers].map((upstream) => [
    upstream.upstreamId,
    upstream.service,
    upstream.role ?? 'service',
    formatState(upstream.isLeaving),
    upstream.reservations,
  ]);
  return renderTable(['UPSTREAM', 'SERVICE', 'ROLE', 'STATE', 'RESERVATIONS'], rows);
}

/** Adds up the reservations that several daemons report for each engine. */
function addReservations(
  engines: StatusAnswer['engines'],
  answers: readonly StatusAnswer[],
): StatusAnswer['engines'] {
  const sums = new Map<string, number>();
  for (const { upstreamId, reservations } of answers.flatMap((answer) => answer.engines)) {
    if (reservations === undefined) continue;
    sums.set(upstreamId, (sums.get(upstreamId) ?? 0) + reservations);
  }
  return engines.map((engine) => ({ ...engine, reservations: sums.get(engine.upstreamId) }));
}

/** Renders what a daemon knows, as tables. */
export function renderStatus(status: StatusAnswer): string {
  return `${renderVms(status)}\n${renderUpstreams(status)}`;
}

/** Shows VMs, upstreams and the revision in force. */
export class StatusCommand extends OperatorCommand {
  static override paths = [['status']];

  static override usage = Command.Usage({
    category: 'State',
    description: 'Shows VMs, upstreams, reservations and the revision in force on each VM.',
    details: `
      Shows what the first daemon that answers knows; "-" stands for what it does not know.
      Reservations are those of requests that arrived at the daemons asked.
    `,
    examples: [['Show the state as JSON', '$0 status --json']],
  });

  async execute(): Promise<number> {
    const answers = await this.callAll({ path: '/status', schema: statusSchema });
    const values = answers.flatMap((answer) => (answer.kind === 'value' ? [answer.value] : []));
    const failed = answers.filter((answer): answer is FailedAnswer => answer.kind !== 'value');
    const codes = failed.map((answer) => this.printFailure(answer));
    const [first] = values;
    if (first === undefined) return codes[0] ?? getExitCode('unreachable');
    const status = { ...first, engines: addReservations(first.engines, values) };
    this.print(status, renderStatus(status));
    return getExitCode('ok');
  }
}
