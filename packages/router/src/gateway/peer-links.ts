/** Links this gateway to its peers and hands their messages to the pool task. */

import type {
  DataCentre,
  Incarnation,
  PeerMessage,
  PoolMessage,
  VmId,
} from '@tarragonspool/protocol';
import type { Logger } from '../logging/logger.js';
import { startPeerMesh, type PeerMesh } from '../peers/peer-mesh.js';
import type { PoolTask } from '../pools/pool-task.js';
import { offer } from '../tasks/tasks.js';
import type { GatewayMetrics } from './gateway-metrics.js';
import type { GatewaySettings } from './ports.js';
import type { MemberRow, Registration } from './registry.js';

/** What the links work with. */
export type PeerLinksParts = {
  readonly settings: GatewaySettings;
  readonly registration: Registration;
  readonly members: { entryVms: readonly MemberRow[] };
  readonly pools: PoolTask;
  readonly metrics: GatewayMetrics;
  readonly logger: Logger;
};

const ALIVE_INTERVAL_MS = 200;
const POOL_KINDS: ReadonlySet<string> = new Set<PoolMessage['kind']>([
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
]);

function isPoolMessage(message: PeerMessage): message is PoolMessage {
  return POOL_KINDS.has(message.kind);
}

/** Starts the links. */
export function startPeerLinks(parts: PeerLinksParts): PeerMesh {
  const { settings, registration, pools, logger, metrics } = parts;
  const incarnations = new Map<VmId, Incarnation>();
  const mesh = startPeerMesh({
    self: {
      vmId: settings.vmId,
      incarnation: registration.incarnation,
      dataCentre: settings.dataCentre as DataCentre,
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
    },
    onGone: (vmId) => {
      offer(pools.inbox, { kind: 'link-closed', vmId });
    },
  });
  let sequence = 0;
  setInterval(() => {
    sequence += 1;
    mesh.broadcast({ kind: 'alive', sequence });
  }, ALIVE_INTERVAL_MS);
  return mesh;
}
