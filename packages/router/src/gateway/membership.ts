/** Registers this VM in the store, follows the list of VMs and starts the links to them. */

import type { VmId } from '@tarragonspool/protocol';
import { makeRowRelay } from '../feeds/row-relay.js';
import { makeTableFeed, type TableFeed } from '../feeds/table-feed.js';
import type { PeerMesh } from '../peers/peer-mesh.js';
import { offer, type Task } from '../tasks/tasks.js';
import type { GatewayState } from './gateway-state.js';
import { startPeerLinks } from './peer-links.js';
import { decodeMembers, MEMBERS_TABLE, runRegistration, type MemberRow } from './registry.js';

/** Starts a task that runs as long as the process. */
export type StartTask = (name: string, body: () => Task) => void;

/** Holds the links to peers; undefined before this VM is registered. */
export type PeerMeshHolder = { mesh: PeerMesh | undefined };

type MemberList = { entryVms: readonly MemberRow[] };

const MEMBERS_LONG_POLL_MS = 5_000;
const MEMBERS_PAUSE_MS = 500;
const STORE_CHECK_INTERVAL_MS = 100;

function makeMemberFeed(state: GatewayState, members: MemberList): TableFeed {
  const options = {
    table: MEMBERS_TABLE,
    holdMs: MEMBERS_LONG_POLL_MS,
    pauseMs: MEMBERS_PAUSE_MS,
    takeFraction: state.takeFraction,
  };
  const feedHolder: { feed: TableFeed | undefined } = { feed: undefined };
  const handler = {
    onRows: () => {
      members.entryVms = decodeMembers(feedHolder.feed?.cache.listRows() ?? []);
      state.listedVmCount = members.entryVms.length;
    },
    onAway: () => undefined,
    onBack: () => undefined,
  };
  feedHolder.feed = makeTableFeed(state.ports.store, options, handler, state.logger);
  return feedHolder.feed;
}

function chooseInformedPeer(state: GatewayState): VmId | undefined {
  const peers = state.pools.listInformedPeers();
  return peers[Math.floor(state.takeFraction() * peers.length)];
}

/** Starts the task that registers this VM, links it to its peers and follows the list of VMs. */
export function startMembership(
  state: GatewayState,
  feeds: readonly TableFeed[],
  meshHolder: PeerMeshHolder,
  start: StartTask,
): void {
  const { settings, logger, metrics, pools, contentGuard } = state;
  const { host, port } = settings.peerListen;
  const self = { vmId: settings.vmId, peerAddress: `${host}:${port}` };
  const members: MemberList = { entryVms: [] };
  const relay = makeRowRelay({
    feeds,
    choosePeer: () => chooseInformedPeer(state),
    sendTo: (vmId, message) => meshHolder.mesh?.sendTo(vmId, message),
    logger,
  });
  const isStoreAway = (): boolean => feeds.some((feed) => feed.isAway());
  setInterval(
    () => offer(pools.inbox, { kind: 'store', isAway: isStoreAway() }),
    STORE_CHECK_INTERVAL_MS,
  );
  start('membership', function* run() {
    const { store } = state.ports;
    const registration = yield* runRegistration(store, self, state.takeFraction, logger);
    const parts = {
      settings,
      registration,
      members,
      pools,
      relay,
      contentGuard,
      isStoreAway,
      metrics,
      logger,
    };
    meshHolder.mesh = startPeerLinks(parts);
    yield* makeMemberFeed(state, members).run();
  });
}
