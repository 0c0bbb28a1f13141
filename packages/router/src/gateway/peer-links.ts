/** Links this gateway to its peers and dispatches their messages. */

import type {
  Incarnation,
  PeerMessage,
  PoolMessage,
  RowsMessage,
  VmId,
} from '@tarragonspool/protocol';
import type { RowRelay } from '../feeds/row-relay.js';
import type { Logger } from '../logging/logger.js';
import { startPeerMesh, type PeerMesh } from '../peers/peer-mesh.js';
import type { PoolTask } from '../pools/pool-task.js';
import { offer } from '../tasks/tasks.js';
import type { ContentGuard } from './content-guard.js';
import type { GatewayMetrics } from './gateway-metrics.js';
import type { GatewaySettings } from './ports.js';
import type { MemberRow, Registration } from './registry.js';

/** Dependencies of the links. */
export type PeerLinksParts = {
  readonly settings: GatewaySettings;
  readonly registration: Registration;
  readonly members: { entryVms: readonly MemberRow[] };
  readonly pools: PoolTask;
  readonly relay: RowRelay;
  readonly contentGuard: ContentGuard;
  readonly isStoreAway: () => boolean;
  readonly metrics: GatewayMetrics;
  readonly logger: Logger;
};

const ALIVE_INTERVAL_MS = 200;
const POOL_MESSAGE_KINDS: ReadonlySet<string> = new Set<PoolMessage['kind']>([
  'alive',
  'pool-ask',
  'pool-queued',
  'pool-grant',
  'pool-refuse',
  'pool-withdraw',
  'pool-prefilled',
  'pool-end',
  'pool-engine-failed',
  'pool-runs',
  'pool-engine-ordered',
]);

function isPoolMessage(message: PeerMessage): message is PoolMessage {
  return POOL_MESSAGE_KINDS.has(message.kind);
}

function isRowsMessage(message: PeerMessage): message is RowsMessage {
  return message.kind === 'rows-wanted' || message.kind === 'rows-copy';
}

/** Starts the links to peers and the regular `alive` broadcast. */
export function startPeerLinks(parts: PeerLinksParts): PeerMesh {
  const { settings, registration, pools, logger, metrics } = parts;
  const incarnations = new Map<VmId, Incarnation>();
  const mesh = startPeerMesh({
    self: {
      vmId: settings.vmId,
      incarnation: registration.incarnation,
      dataCentre: settings.dataCentre,
    },
    listen: settings.peerListen,
    secrets: [registration.secret],
    directory: parts.members,
    metrics,
    logger,
    onOpen: ({ peer }) => {
      const { vmId, incarnation } = peer;
      const known = incarnations.get(vmId);
      incarnations.set(vmId, incarnation);
      if (known !== undefined && known < incarnation) {
        offer(pools.inbox, { kind: 'vm-restarted', vmId });
      }
      offer(pools.inbox, { kind: 'link-opened', vmId });
    },
    onMessage: ({ vmId }, message) => {
      if (isPoolMessage(message)) offer(pools.inbox, { kind: 'peer', from: vmId, message });
      else if (isRowsMessage(message)) parts.relay.handleMessage(vmId, message);
      else if (message.kind === 'suspects') parts.contentGuard.mergeRecords(message.items);
    },
    onGone: (vmId) => {
      offer(pools.inbox, { kind: 'link-closed', vmId });
    },
  });
  setInterval(() => {
    mesh.broadcast({ kind: 'alive', isStoreAway: parts.isStoreAway() });
    parts.relay.askPeers();
  }, ALIVE_INTERVAL_MS);
  return mesh;
}
