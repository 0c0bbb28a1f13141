/** Registers this VM in the store, follows the list of VMs and starts the links to them. */

import { makeRowRelay } from '../feeds/row-relay.js';
import { makeTableFeed, type TableFeed } from '../feeds/table-feed.js';
import { makeUnusableRowRecorder } from '../feeds/unusable-rows.js';
import type { FleetView } from '../peers/fleet-view.js';
import type { PeerMesh } from '../peers/peer-mesh.js';
import { offer, type Channel, type Task } from '../tasks/tasks.js';
import { getSteadyMs } from '../time/steady-clock.js';
import type { ContentGuard } from './quarantine/content-guard.js';
import type { GatewayMetrics } from './gateway-metrics.js';
import type { PartGuard } from './quarantine/part-guard.js';
import { startPeerLinks, type PeerLinksState } from './peer-links.js';
import type { GatewaySettings, RowChange, RowStore } from './ports.js';
import { notifyPoolsOfEngines } from './pool-engines.js';
import {
  buildQuarantineWrite,
  findRowFault,
  listKnownQuarantine,
  runQuarantineRows,
  type QuarantineRowsParts,
  type QuarantineWakeup,
} from './quarantine/quarantine-rows.js';
import { listStoredContents } from './quarantine/content-rows.js';
import { listStoredParts } from './quarantine/part-rows.js';
import { listStoredSound } from './quarantine/sound-rows.js';
import { listScopes } from './quarantine/quarantine-scope.js';
import {
  decodeMember,
  findSecret,
  listMembers,
  MEMBERS_TABLE,
  runRegistration,
  type MemberRow,
  type Registration,
} from './registry.js';
import { applyVersionRows } from './versions/version-registry.js';
import { runVersionWrites, type VersionWritesState } from './versions/version-writes.js';

/** Guards that rows of the quarantine are merged into. */
type StoredQuarantineState = {
  readonly configuration: PeerLinksState['configuration'];
  readonly contentGuard: Pick<ContentGuard, 'mergeStored'>;
  readonly partGuard: Pick<PartGuard, 'mergeStored'>;
};

/** State that the rows of the VMs change, and that the tasks started along with them need. */
export type MembershipState = PeerLinksState &
  QuarantineRowsParts &
  StoredQuarantineState &
  VersionWritesState & {
    readonly settings: Pick<GatewaySettings, 'capacity'>;
    readonly ports: { readonly store: RowStore };
    readonly metrics: Pick<
      GatewayMetrics,
      'rowsWrittenAgain' | 'storeCallsFailed' | 'unusableRows'
    >;
    readonly quarantineWakeups: Channel<QuarantineWakeup>;
    readonly versionWakeups: Channel<true>;
    /** Number of VMs that the store lists; undefined before the list is read. */
    listedVmCount: number | undefined;
  };

/** Starts a task that runs as long as the process. */
export type StartTask = (name: string, body: () => Task) => void;

/** Holds the links to peers; undefined before this VM is registered. */
export type PeerMeshHolder = {
  mesh: PeerMesh | undefined;
  /** Tells peers at once what the regular messages say. */
  tellAlive?: () => void;
};

const MEMBERS_LONG_POLL_MS = 5_000;
const MEMBERS_ANSWER_MS = 900;
const MEMBERS_PAUSE_MS = 500;
const MAX_BACKOFF_MS = 600;
/** VMs that probe a store which is away as often as a hub does; more VMs each probe less. */
const PROBING_VMS = 8;

/** Returns the longest wait of this VM between calls to a store that is away, in milliseconds. */
export function computeMaxBackoffMs(fleet: FleetView, now: number): number {
  if (fleet.isHub(now)) return MAX_BACKOFF_MS;
  return MAX_BACKOFF_MS * Math.max(1, fleet.countMembers() / PROBING_VMS);
}

/** Takes what rows say of the quarantine; those of older versions hold in all scopes. */
function mergeQuarantineRows(state: StoredQuarantineState, rows: readonly RowChange[]): void {
  const scopes = listScopes(state.configuration, undefined);
  state.partGuard.mergeStored(listStoredParts(rows, scopes), listStoredSound(rows));
  state.contentGuard.mergeStored(listStoredContents(rows));
}

/** What the list of VMs changes besides the fleet view. */
type MemberHandler = {
  /** Secrets that prove membership; the first signs. */
  readonly secrets: string[];
  /** This VM's row or the secret was lost in a restore of the store. */
  readonly onRowLost: () => void;
};

function makeMemberFeed(
  state: MembershipState,
  self: MemberRow,
  handler: MemberHandler,
): TableFeed {
  const { fleet, takeFraction, pools, metrics } = state;
  const options = {
    table: MEMBERS_TABLE,
    isAgeBounded: false,
    holdMs: MEMBERS_LONG_POLL_MS,
    answerMs: MEMBERS_ANSWER_MS,
    pauseMs: MEMBERS_PAUSE_MS,
    getMaxBackoffMs: () => computeMaxBackoffMs(fleet, getSteadyMs()),
    takeFraction,
    metrics,
  };
  const recordUnusable = makeUnusableRowRecorder({ ...state, table: MEMBERS_TABLE });
  const feedHolder: { feed: TableFeed | undefined } = { feed: undefined };

  function updateMembers(): void {
    const rows = feedHolder.feed?.cache.listRows() ?? [];
    const members = listMembers(rows);
    state.listedVmCount = members.length;
    fleet.setMembers(members);
    state.quotas.setMembers(members);
    offer(pools.inbox, { kind: 'members', members });
    const secret = findSecret(rows);
    if (secret !== undefined && secret !== handler.secrets[0]) handler.secrets.unshift(secret);
    mergeQuarantineRows(state, rows);
    applyVersionRows(state.versionRegistry, rows, getSteadyMs());
    offer(state.versionWakeups, true);
    notifyPoolsOfEngines(state);
    // A restored store may have lost rows.
    const isLost = buildQuarantineWrite(listKnownQuarantine(state), rows) !== undefined;
    if (isLost) offer(state.quarantineWakeups, { isOwnReport: false });
    const isListed = members.some(({ vmId }) => vmId === self.vmId);
    if (!isListed || secret === undefined) handler.onRowLost();
  }

  const feedHandler = {
    onRows: (news: readonly RowChange[]) => {
      for (const row of news) {
        const decoded = decodeMember(row);
        const fault = decoded?.kind === 'unusable' ? decoded.reason : findRowFault(row);
        if (fault !== undefined) recordUnusable(row, fault);
      }
      updateMembers();
    },
    onAway: () => undefined,
    onBack: () => undefined,
    onFirstEra: () => undefined,
    onRestored: () => undefined,
  };
  feedHolder.feed = makeTableFeed(state.ports.store, options, feedHandler, state.logger);
  return feedHolder.feed;
}

/** Registers this VM again after the store has lost its row; one attempt at a time. */
function makeReregistration(
  state: MembershipState,
  self: MemberRow,
  getSecret: () => string | undefined,
  start: StartTask,
): () => void {
  const { store } = state.ports;
  let isRunning = false;
  return () => {
    if (isRunning) return;
    isRunning = true;
    start('registration', function* run() {
      const { takeFraction, logger } = state;
      yield* runRegistration({ store, self, takeFraction, logger, knownSecret: getSecret() });
      state.metrics.rowsWrittenAgain.inc();
      isRunning = false;
    });
  };
}

/** Starts the task that registers this VM, links it to its peers and follows the list of VMs. */
export function startMembership(
  state: MembershipState,
  feeds: readonly TableFeed[],
  meshHolder: PeerMeshHolder,
  start: StartTask,
): void {
  const { settings, logger } = state;
  const { host, port } = settings.peerListen;
  const { vmId, capacity } = settings;
  const self = { vmId, peerAddress: `${host}:${port}`, capacity };
  const secrets: string[] = [];
  const onRowLost = makeReregistration(state, self, () => secrets[0], start);
  const memberFeed = makeMemberFeed(state, self, { secrets, onRowLost });
  const allFeeds = [...feeds, memberFeed];
  const relay = makeRowRelay({
    feeds: allFeeds,
    measurePeerAgeMs: (table, position) =>
      state.fleet.measureTableAgeMs(table, position, getSteadyMs()),
    sendTo: (to, message) => meshHolder.mesh?.sendTo(to, message),
    logger,
  });
  start('quarantine rows', () =>
    runQuarantineRows(state, state.quarantineWakeups, memberFeed.cache.listRows),
  );
  start('version rows', () => runVersionWrites(state, state.versionWakeups));
  start('membership', function* run() {
    const { store } = state.ports;
    const registration: Registration = yield* runRegistration({
      store,
      self,
      takeFraction: state.takeFraction,
      logger,
      onRows: (rows) => {
        mergeQuarantineRows(state, rows);
        applyVersionRows(state.versionRegistry, rows, getSteadyMs());
      },
    });
    secrets.push(registration.secret);
    const { incarnation } = registration;
    const links = startPeerLinks({ state, incarnation, secrets, relay, feeds: allFeeds });
    meshHolder.mesh = links.mesh;
    meshHolder.tellAlive = links.tellAlive;
    yield* memberFeed.run();
  });
}
