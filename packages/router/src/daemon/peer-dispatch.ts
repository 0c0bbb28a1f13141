/** Hands what peers say to the tasks that it concerns. */

import type { PeerMessage } from '@tarragonspool/protocol';
import { isAllocationMessage } from '../allocation/allocation-messages.js';
import { isDuplicateMessage } from '../claims/duplicate-task.js';
import type { PeerIdentity } from '../peers/peer-link.js';
import { startPeerMesh, type PeerMesh } from '../peers/peer-mesh.js';
import { offer } from '../tasks/tasks.js';
import type { DaemonState } from './daemon-state.js';

function handleHeartbeat(
  { inboxes }: DaemonState,
  peer: PeerIdentity,
  message: Extract<PeerMessage, { kind: 'heartbeat' }>,
  now: number,
): void {
  const { vmId } = peer;
  offer(inboxes.rules, { kind: 'peer-revision', vmId, revision: message.rulesRevision, now });
  offer(inboxes.membership, { ...message, ...peer, now });
}

function handlePeerMessage(state: DaemonState, peer: PeerIdentity, message: PeerMessage): void {
  const { inboxes, quarantine, logger } = state;
  const { vmId } = peer;
  const now = Date.now();
  if (isAllocationMessage(message)) {
    offer(inboxes.allocation, { kind: 'peer-said', vmId, message, now });
    return;
  }
  if (isDuplicateMessage(message)) {
    offer(inboxes.duplicates, { kind: 'peer-said', from: peer, message });
    return;
  }
  switch (message.kind) {
    case 'rules':
      offer(inboxes.rules, { ...message, kind: 'peer-file', now });
      return;
    case 'rules-deltas':
      offer(inboxes.rules, { ...message, kind: 'peer-deltas', now });
      return;
    case 'rules-wanted':
      offer(inboxes.rules, { ...message, kind: 'peer-wants', vmId, now });
      return;
    case 'suspects':
      offer(quarantine.inbox, {
        kind: 'event',
        event: { kind: 'heard', items: message.items, now },
      });
      return;
    case 'heartbeat':
      handleHeartbeat(state, peer, message, now);
      return;
    default:
      logger.debug({ kind: message.kind }, 'peers: message ignored');
  }
}

/** Starts the links to the other entry VMs. */
export function startPeers(state: DaemonState): PeerMesh {
  const { self, settings, directory, metrics, logger, inboxes, quarantine } = state;
  return startPeerMesh({
    self,
    listen: settings.peerListen,
    secrets: settings.peerSecrets,
    directory,
    metrics,
    logger,
    onOpen: (link) => {
      const { vmId } = link.peer;
      offer(inboxes.allocation, { kind: 'link-opened', vmId, now: Date.now() });
      offer(quarantine.inbox, { kind: 'link-opened', vmId });
    },
    onMessage: (peer, message) => handlePeerMessage(state, peer, message),
    onGone: (vmId, incarnation) => {
      offer(inboxes.membership, { kind: 'link-closed', vmId, incarnation, now: Date.now() });
    },
  });
}

/** Tells every peer that this VM is alive, and what it knows of rules and leaving upstreams. */
export function sendHeartbeat(state: DaemonState, mesh: PeerMesh): void {
  mesh.broadcast({
    kind: 'heartbeat',
    sentAt: Date.now(),
    isLeaving: state.isLeaving,
    rulesRevision: state.view.revision,
    summaries: [],
    leaving: state.members.listLeaving(),
  });
}
