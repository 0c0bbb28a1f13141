/** `tarragonspool status`. */

import { Command } from 'clipanion';
import { getExitCode } from '../exit-codes.js';
import { statusSchema, type StatusAnswer } from '../operators/answers.js';
import { OperatorCommand } from '../operators/operator-command.js';
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
    details: 'Shows what the daemon asked knows; "-" stands for what it does not know.',
    examples: [['Show the state as JSON', '$0 status --json']],
  });

  async execute(): Promise<number> {
    const answer = await this.call({ path: '/status', schema: statusSchema });
    if (answer.kind !== 'value') return this.printFailure(answer);
    this.print(answer.value, renderStatus(answer.value));
    return getExitCode('ok');
  }
}
