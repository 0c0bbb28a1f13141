/** Links this gateway to its peers, dispatches their messages and tells them what it knows. */

import type {
  AliveMessage,
  Incarnation,
  LoadMessage,
  OriginMessage,
  PeerMessage,
  PermitMessage,
  PoolMessage,
  QuotaMessage,
  RowsMessage,
  VmId,
} from '@tarragonspool/protocol';
import { UNKNOWN_AGE_MS, type RowRelay } from '../feeds/row-relay.js';
import type { TableFeed } from '../feeds/table-feed.js';
import type { FleetView } from '../peers/fleet-view.js';
import { startPeerMesh, type PeerMesh } from '../peers/peer-mesh.js';
import type { QuotaTask } from '../quotas/quota-task.js';
import type { SharedLoads } from '../speeds/shared-loads.js';
import { offer } from '../tasks/tasks.js';
import { startAdaptiveTicker } from '../tasks/timers.js';
import { getSteadyMs } from '../time/steady-clock.js';
import type { ContentGuard } from './quarantine/content-guard.js';
import type { GatewayMetrics } from './gateway-metrics.js';
import type { PartGuard } from './quarantine/part-guard.js';
import type { GatewaySettings } from './ports.js';
import { isRelayMessage, type ServerAccess } from './server-access.js';
import type { StreamOriginBook } from './stream-origins.js';
import {
  applyLeavingMessage,
  applyLimitsMessage,
  listToldLeaving,
  listToldLimits,
  type UpstreamNoticesState,
} from './upstream-notices.js';

/** What handles the messages of peers, and what messages to peers are built from. */
export type PeerLinksState = UpstreamNoticesState & {
  readonly settings: Pick<GatewaySettings, 'vmId' | 'dataCentre' | 'peerListen'>;
  readonly fleet: FleetView;
  readonly quotas: QuotaTask;
  readonly access: Pick<ServerAccess, 'paths' | 'handleMessage' | 'isLinkUsed' | 'handleLinkEnded'>;
  readonly streamOrigins: StreamOriginBook;
  readonly sharedLoads: Pick<SharedLoads, 'handleMessage'>;
  readonly contentGuard: Pick<ContentGuard, 'listTold' | 'mergeRecords'>;
  readonly partGuard: Pick<PartGuard, 'listTold' | 'handleMessage'>;
  readonly metrics: Pick<GatewayMetrics, 'peers'>;
  readonly isLeaving: boolean;
  /** Judged before each regular message. */
  storeKnown: { readonly isRecent: boolean; readonly judgedAt: number };
};

/** Dependencies of the links. */
export type PeerLinksParts = {
  readonly state: PeerLinksState;
  readonly incarnation: Incarnation;
  /** Secrets that prove membership; the first signs. The list may grow. */
  readonly secrets: readonly string[];
  readonly relay: RowRelay;
  readonly feeds: readonly TableFeed[];
};

const ALIVE_INTERVAL_MS = 200;
/** Used on VMs that are no hubs: often enough to keep their links. */
const IDLE_ALIVE_INTERVAL_MS = 400;
/** Spread, for each VM, of the time at which VMs that lost their source begin to read the store. */
const SPREAD_MS_PER_VM = 8;
const POOL_MESSAGE_KINDS: ReadonlySet<string> = new Set<(PoolMessage | PermitMessage)['kind']>([
  'alive',
  'pool-ask',
  'pool-ask-again',
  'pool-queued',
  'pool-grant',
  'pool-refuse',
  'pool-withdraw',
  'pool-prefilled',
  'pool-end',
  'pool-engine-failed',
  'pool-runs',
  'pool-engine-ordered',
  'permit-request',
  'permit-answer',
]);

function isPoolMessage(message: PeerMessage): message is PoolMessage | PermitMessage {
  return POOL_MESSAGE_KINDS.has(message.kind);
}

function isQuotaMessage(message: PeerMessage): message is QuotaMessage {
  return message.kind === 'quota-use' || message.kind === 'quota-levels';
}

function isLoadMessage(message: PeerMessage): message is LoadMessage {
  return message.kind === 'load-report' || message.kind === 'load-summary';
}

function isOriginMessage(message: PeerMessage): message is OriginMessage {
  return (
    message.kind === 'stream-origins' ||
    message.kind === 'stream-origins-untold' ||
    message.kind === 'stream-origin-request' ||
    message.kind === 'stream-origin-answer'
  );
}

function isRowsMessage(message: PeerMessage): message is RowsMessage {
  return message.kind === 'rows-wanted' || message.kind === 'rows-copy';
}

/** Measures how old this VM's knowledge of the store is, over all VMs that passed it on. */
function measureOwnStoreAgeMs({ state, feeds }: PeerLinksParts, now: number): number {
  const peerAgeMs = state.fleet.measureStoreAgeMs(now);
  if (!feeds.every((feed) => feed.isReading())) return peerAgeMs;
  // The last answer to any call shows that the store could be reached then.
  return Math.min(peerAgeMs, ...feeds.map((feed) => now - feed.getAnsweredAt()));
}

function buildAliveMessage(parts: PeerLinksParts, now: number): AliveMessage {
  const { state, feeds, relay } = parts;
  const storeAgeMs = Math.min(UNKNOWN_AGE_MS, measureOwnStoreAgeMs(parts, now));
  const isReading = feeds.every((feed) => feed.isReading());
  const quotaKeeper = state.quotas.findUsedKeeper(now);
  return {
    kind: 'alive',
    // A table in which nothing changes is answered rarely; that alone moves no ownership.
    isStoreAway: !isReading && !state.fleet.isRecent(storeAgeMs),
    isReading,
    isLeaving: state.isLeaving,
    isCutOff: state.access.paths.isCutOff(),
    lostServers: state.access.paths.listLost(),
    storeAgeMs,
    positions: relay.listPositions(),
    ...(quotaKeeper === undefined ? {} : { quotaKeeper }),
  };
}

/**
 * Makes the choice of the source of the feeds. A VM that is no hub and lost its source begins to
 * read the store after a random delay, so that a large fleet does not read all at once.
 */
function makeSourceChoice({ state, feeds }: PeerLinksParts): (now: number) => void {
  const { fleet, takeFraction } = state;
  let readsFrom: number | undefined;

  function isDelayed(now: number): boolean {
    if (fleet.isHub(now)) return false;
    readsFrom ??= now + takeFraction() * SPREAD_MS_PER_VM * fleet.countMembers();
    return now < readsFrom;
  }

  return (now) => {
    const isSelfReading = feeds.every((feed) => feed.isReading());
    const source = fleet.chooseSource(isSelfReading, now);
    if (source === 'store' && isDelayed(now)) return;
    if (source === 'peers') readsFrom = undefined;
    for (const feed of feeds) feed.setSource(source);
  };
}

/** Makes the regular step: choose the source of rows, tell peers what this VM knows. */
function makeAliveStep(parts: PeerLinksParts, mesh: PeerMesh): () => void {
  const { state } = parts;
  const chooseSource = makeSourceChoice(parts);
  return () => {
    const now = getSteadyMs();
    chooseSource(now);
    const message = buildAliveMessage(parts, now);
    state.storeKnown = { isRecent: !message.isStoreAway, judgedAt: now };
    const isUnfit = message.isStoreAway || message.isCutOff;
    offer(state.pools.inbox, { kind: 'unfit', isUnfit });
    state.quotas.setUnfit(isUnfit || message.isLeaving);
    mesh.broadcast(message);
  };
}

/** Messages that hubs pass on. */
type RelayedKind = 'suspects' | 'prompt-parts' | 'upstreams-leaving' | 'upstream-limits';

/** Passes what a VM has learned on to all others; only hubs are linked to all. */
function broadcastAgain(
  mesh: PeerMesh,
  from: VmId,
  message: Extract<PeerMessage, { kind: RelayedKind }>,
): void {
  for (const [vmId, link] of mesh.links) {
    if (vmId !== from) link.send({ ...message, isRelayed: true });
  }
}

/** The links of this VM. */
export type PeerLinks = {
  readonly mesh: PeerMesh;
  /** Sends the regular message now. */
  readonly tellAlive: () => void;
};

/** Starts the links to peers and the regular messages on them. */
export function startPeerLinks(parts: PeerLinksParts): PeerLinks {
  const { state, relay, incarnation, secrets } = parts;
  const { settings, pools, quotas, fleet, logger, metrics, contentGuard, partGuard } = state;
  const { vmId: self, dataCentre } = settings;
  const incarnations = new Map<VmId, Incarnation>();
  const mesh = startPeerMesh({
    self: { vmId: self, incarnation, dataCentre },
    listen: settings.peerListen,
    isPatient: true,
    secrets,
    directory: { entryVms: [] },
    listTargets: (now) => fleet.listTargets(now),
    isLinkUsed: (vmId) => state.access.isLinkUsed(vmId),
    listDependents: (now) => fleet.listDependents(now),
    onDialFailed: (vmId) => fleet.recordUnreachable(vmId, getSteadyMs()),
    metrics,
    logger,
    onOpen: ({ peer, send }) => {
      const { vmId } = peer;
      const leaving = listToldLeaving(state);
      if (leaving.length > 0) {
        send({ kind: 'upstreams-leaving', isRelayed: true, items: leaving });
      }
      const limits = listToldLimits(state);
      if (limits.length > 0) send({ kind: 'upstream-limits', isRelayed: true, items: limits });
      const contents = contentGuard.listTold();
      if (contents.length > 0) send({ kind: 'suspects', isRelayed: true, items: contents });
      for (const message of partGuard.listTold()) send(message);
      const known = incarnations.get(vmId);
      incarnations.set(vmId, peer.incarnation);
      fleet.recordLinkOpened(vmId, getSteadyMs());
      state.access.handleLinkEnded(vmId);
      state.streamOrigins.handleLinkOpened(vmId);
      if (known !== undefined && known < peer.incarnation) {
        offer(pools.inbox, { kind: 'vm-restarted', vmId });
      }
      offer(pools.inbox, { kind: 'link-opened', vmId });
      quotas.addLink(vmId, getSteadyMs());
    },
    onMessage: ({ vmId }, message) => {
      if (message.kind === 'alive') {
        fleet.recordAlive(vmId, message, getSteadyMs());
        relay.askPeer(vmId, message.positions);
        quotas.handleAlive(vmId, message, getSteadyMs());
      }
      if (isQuotaMessage(message)) quotas.handleMessage(vmId, message, getSteadyMs());
      else if (isPoolMessage(message)) offer(pools.inbox, { kind: 'peer', from: vmId, message });
      else if (isRowsMessage(message)) relay.handleMessage(vmId, message);
      else if (isRelayMessage(message)) state.access.handleMessage(vmId, message);
      else if (isOriginMessage(message)) state.streamOrigins.handleMessage(vmId, message);
      else if (isLoadMessage(message)) {
        state.sharedLoads.handleMessage(vmId, message, getSteadyMs());
      } else if (message.kind === 'suspects') {
        contentGuard.mergeRecords(message.items);
        if (message.isRelayed !== true) broadcastAgain(mesh, vmId, message);
      } else if (message.kind === 'prompt-parts') {
        partGuard.handleMessage(message);
        if (message.isRelayed !== true) broadcastAgain(mesh, vmId, message);
      } else if (message.kind === 'upstreams-leaving') {
        applyLeavingMessage(state, message);
        if (message.isRelayed !== true) broadcastAgain(mesh, vmId, message);
      } else if (message.kind === 'upstream-limits') {
        applyLimitsMessage(state, message);
        if (message.isRelayed !== true) broadcastAgain(mesh, vmId, message);
      }
    },
    onGone: (vmId) => {
      fleet.recordLinkLost(vmId, getSteadyMs());
      state.access.handleLinkEnded(vmId);
      state.streamOrigins.handleLinkClosed();
      offer(pools.inbox, { kind: 'link-closed', vmId });
      quotas.removeLink(vmId);
    },
  });
  const tellAlive = makeAliveStep(parts, mesh);
  startAdaptiveTicker({
    busyMs: ALIVE_INTERVAL_MS,
    idleMs: IDLE_ALIVE_INTERVAL_MS,
    isBusy: () => fleet.isHub(getSteadyMs()),
    onTick: tellAlive,
  });
  return { mesh, tellAlive };
}
