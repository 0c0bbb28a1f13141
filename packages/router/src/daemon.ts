/** Puts the daemon's parts together and starts and stops them. */

import type { Server } from 'node:http';
import { makeBurnState, makeMembershipState, makeRetryBudget } from '@tarragonspool/core';
import {
  makeAgent,
  makeGuardedTable,
  makeObjectClient,
  makeTableClient,
  makeVmListClient,
  type TableClient,
} from '@tarragonspool/platform';
import type {
  DataCentre,
  Incarnation,
  PeerMessage,
  UpstreamId,
  VmId,
} from '@tarragonspool/protocol';
import {
  isAllocationMessage,
  makeAllocationInbox,
  type AllocationMessage,
} from './allocation/allocation-messages.js';
import { makeAllocation } from './allocation/allocation-task.js';
import { buildBurnReport, recordTrace } from './burn/burn-recorder.js';
import { makeAuthenticateFilter } from './callers/authenticate.js';
import { makeCallerServer } from './callers/caller-server.js';
import { makeReadBodyFilter } from './callers/read-body-filter.js';
import { makeLedgerInbox, runClaimLedger } from './claims/claim-ledger.js';
import { makeGuardOptions } from './claims/guard-options.js';
import { makeCancelInbox, runCancels, type CancelMessage } from './engines/cancel-task.js';
import { runEnginePolls } from './engines/engine-poll-task.js';
import {
  isDuplicateMessage,
  listAliveVms,
  makeDuplicateFilter,
  makeDuplicateInbox,
  runDuplicateGuard,
  type DuplicateInboxMessage,
} from './claims/duplicate-task.js';
import { makeRequestJournal } from './journal/request-journal.js';
import { runClaimSweep } from './claims/claim-sweep-task.js';
import { makeInvariants } from './invariants/invariants.js';
import type { Logger } from './logging/logger.js';
import {
  makeMembershipInbox,
  makeMembershipView,
  runMembership,
} from './membership/membership-task.js';
import { makeMetrics } from './metrics/metrics.js';
import { makeOperatorServer } from './operators/operator-server.js';
import { buildStatus } from './operators/status.js';
import type { PeerIdentity } from './peers/peer-link.js';
import { startPeerMesh } from './peers/peer-mesh.js';
import { makeChatFilters } from './requests/chat-filters.js';
import { makeModelListFilter } from './requests/model-list-filter.js';
import type { ChatParts } from './requests/chat-filters.js';
import { makeAdmissionFilter } from './rules/admission-filter.js';
import { readRuleHistory } from './rules/rule-history.js';
import {
  makeQuarantine,
  runQuarantine,
  type QuarantineMessage,
} from './quarantine/quarantine-task.js';
import { makeSuspectStore, runSuspectReads } from './quarantine/suspect-store.js';
import { makeRulesInbox, runRules, type RulesMessage } from './rules/rules-task.js';
import { isRulesViewCurrent, makeRulesView } from './rules/rules-view.js';
import { makeServiceFilters } from './services/service-filters.js';
import { getKeepAliveMs, runGracefulStop } from './shutdown/graceful-stop.js';
import type { Settings } from './settings/settings.js';
import { findTlsFiles } from './settings/tls-settings.js';
import { offer, startTask, type Task } from './tasks/tasks.js';
import { startTicker } from './tasks/timers.js';
import { runDirectory } from './upstreams/directory-task.js';
import { makeDirectory } from './upstreams/directory.js';

/** A running daemon. */
export type Daemon = {
  /** Stops without cutting requests; calls back when the last one ended. */
  readonly stop: (onStopped: () => void) => void;
};

const RULES_TICK_MS = 100;
const ALLOCATION_TICK_MS = 25;
const CANCEL_TICK_MS = 250;
/** Claims have a share of their own, so that a burst of calls does not hold up rules. */
const CLAIMS_TABLE_SHARE = 0.75;
const QUARANTINE_TICK_MS = 100;
const ENGINE_PROBE_MS = 250;
const DUPLICATE_TICK_MS = 50;
const HEARTBEAT_INTERVAL_MS = 250;

function listen(server: Server, address: { readonly host: string; readonly port: number }): void {
  server.listen(address.port, address.host);
}

/** Starts the daemon. */
export function startDaemon(settings: Settings, logger: Logger): Daemon {
  const self: PeerIdentity = {
    vmId: settings.vmId as VmId,
    incarnation: Date.now() as Incarnation,
    dataCentre: settings.dataCentre as DataCentre,
  };
  const platformAgent = makeAgent();
  const objects = makeObjectClient(settings.platformUrl, platformAgent);
  const vmList = makeVmListClient(settings.platformUrl, platformAgent);
  const metrics = makeMetrics();
  const invariants = makeInvariants(metrics, logger);
  const directory = makeDirectory();
  const view = makeRulesView();
  const allocation = makeAllocationInbox();
  const cancels = makeCancelInbox();
  const rulesInbox = makeRulesInbox();
  let isLeaving = false;

  const handleTaskEnd = (name: string, error?: unknown): void => {
    logger.fatal({ name, err: error }, 'daemon: task ended');
    process.exit(1);
  };
  const start = (name: string, body: () => Task): void => startTask(name, body, handleTaskEnd);

  const membership = makeMembershipInbox();
  const membershipState = makeMembershipState(self.vmId);
  const members = makeMembershipView(membershipState, () => isLeaving);
  const plainTable = makeTableClient(settings.platformUrl, platformAgent);
  const countLiveVms = (): number => Math.max(1, members.listLive(Date.now()).length);
  const makeTableShare = (share: number): TableClient =>
    makeGuardedTable(plainTable, makeGuardOptions(share, countLiveVms));
  const table = makeTableShare(1 - CLAIMS_TABLE_SHARE);
  const claimsTable = makeTableShare(CLAIMS_TABLE_SHARE);
  const duplicates = makeDuplicateInbox();
  const quarantine = makeQuarantine();
  const handlePeerMessage = (peer: PeerIdentity, message: PeerMessage): void => {
    if (isAllocationMessage(message)) {
      const { vmId } = peer;
      offer(allocation, { kind: 'peer-said', vmId, message, now: Date.now() });
      return;
    }
    if (isDuplicateMessage(message)) {
      offer(duplicates, { kind: 'peer-said', from: peer, message });
      return;
    }
    switch (message.kind) {
      case 'rules':
        offer(rulesInbox, { ...message, kind: 'peer-file', now: Date.now() });
        return;
      case 'rules-deltas':
        offer(rulesInbox, { ...message, kind: 'peer-deltas', now: Date.now() });
        return;
      case 'rules-wanted': {
        const { afterRevision } = message;
        const { vmId } = peer;
        offer(rulesInbox, { kind: 'peer-wants', vmId, afterRevision, now: Date.now() });
        return;
      }
      case 'suspects': {
        const event = { kind: 'heard', items: message.items, now: Date.now() } as const;
        offer(quarantine.inbox, { kind: 'event', event });
        return;
      }
      case 'heartbeat':
        offer(rulesInbox, {
          kind: 'peer-revision',
          vmId: peer.vmId,
          revision: message.rulesRevision,
          now: Date.now(),
        });
        offer(membership, { ...message, ...peer, now: Date.now() });
        return;
      default:
        logger.debug({ kind: message.kind }, 'peers: message ignored');
    }
  };

  const mesh = startPeerMesh({
    self,
    listen: settings.peerListen,
    secrets: settings.peerSecrets,
    directory,
    metrics,
    logger,
    onOpen: (link) => {
      const { vmId } = link.peer;
      offer(allocation, { kind: 'link-opened', vmId, now: Date.now() });
      offer(quarantine.inbox, { kind: 'link-opened', vmId });
    },
    onMessage: handlePeerMessage,
    onGone: (vmId, incarnation) => {
      offer(membership, { kind: 'link-closed', vmId, incarnation, now: Date.now() });
    },
  });

  start('directory', () => runDirectory(vmList, membership, logger));
  start('membership', () =>
    runMembership(membership, {
      state: membershipState,
      directory,
      allocation,
      logger,
    }),
  );
  const { policy, objective } = settings;
  const { sendTo } = mesh;
  const allocator = makeAllocation({
    ...self,
    policy,
    objective,
    sendTo,
    cancels,
    invariants,
    logger,
  });
  start('allocation', () => allocator.run(allocation));
  start('cancels', () => runCancels(cancels, { directory, metrics, logger }));
  start('engine polls', () =>
    runEnginePolls({
      directory,
      allocation,
      cancels,
      metrics,
      logger,
      listPolled: allocator.listPolled,
      makeSweepView: () => ({
        incarnations: members.listIncarnations(),
        ended: allocator.endedIncarnations,
      }),
    }),
  );
  start('rules', () =>
    runRules(rulesInbox, {
      view,
      table,
      objects,
      membership,
      metrics,
      invariants,
      logger,
      seed: self.incarnation,
      broadcast: mesh.broadcast,
      sendTo: mesh.sendTo,
    }),
  );
  startTicker<RulesMessage>(rulesInbox, RULES_TICK_MS, (now) => ({ kind: 'ticked', now }));
  startTicker<AllocationMessage>(allocation, ALLOCATION_TICK_MS, (now) => ({
    kind: 'ticked',
    liveVms: members.listLive(now),
    now,
  }));
  startTicker<CancelMessage>(cancels, CANCEL_TICK_MS, (now) => ({ kind: 'ticked', now }));

  const sendHeartbeat = (): void => {
    const rulesRevision = view.revision;
    const sentAt = Date.now();
    mesh.broadcast({
      kind: 'heartbeat',
      sentAt,
      isLeaving,
      rulesRevision,
      summaries: [],
      leaving: members.listLeaving(),
    });
  };
  const heartbeatTimer = setInterval(sendHeartbeat, HEARTBEAT_INTERVAL_MS);

  const journal = makeRequestJournal(settings.journalEntries);
  const burn = makeBurnState(Date.now(), settings.burnSeries);
  const claims = makeLedgerInbox();
  start('claims', () =>
    runClaimLedger(claims, { table: claimsTable, invariants, metrics, logger }),
  );
  start('claim sweep', () =>
    runClaimSweep({ self: self.vmId, table: claimsTable, members, metrics, logger }),
  );

  start('duplicates', () => runDuplicateGuard(duplicates, { self, sendTo: mesh.sendTo, metrics }));
  startTicker<DuplicateInboxMessage>(duplicates, DUPLICATE_TICK_MS, (now) => ({
    kind: 'ticked',
    liveVms: members.listLive(now),
    aliveVms: listAliveVms(members.listMembers(), self.vmId, now),
  }));

  const probe = async (upstreamId: UpstreamId): Promise<boolean> => {
    const client = directory.engines.get(upstreamId)?.client;
    return (await client?.readLoad(Date.now() + ENGINE_PROBE_MS)) !== undefined;
  };
  start('quarantine', () =>
    runQuarantine({
      quarantine,
      duplicates,
      store: makeSuspectStore(table, logger),
      probe,
      broadcast: mesh.broadcast,
      sendTo: mesh.sendTo,
      metrics,
      logger,
    }),
  );
  start('suspect reads', () => runSuspectReads(table, quarantine));
  startTicker<QuarantineMessage>(quarantine.inbox, QUARANTINE_TICK_MS, (now) => ({
    kind: 'event',
    event: { kind: 'ticked', now },
  }));

  const requestParts: ChatParts = {
    ...self,
    claims,
    quarantine,
    directory,
    allocation,
    cancels,
    objective,
    budget: makeRetryBudget(),
    invariants,
    metrics,
  };
  const admit = makeAdmissionFilter(view);
  const authenticate = makeAuthenticateFilter(view);
  const readBody = makeReadBodyFilter(settings.maxBodyBytes);
  const serviceParts = { view, directory, claims, invariants, metrics };
  const chatFilters = makeChatFilters(requestParts, view, readBody);
  const serviceFilters = makeServiceFilters(serviceParts, readBody);
  const callerServer = makeCallerServer({
    routes: {
      chat: [admit, authenticate, makeDuplicateFilter(duplicates, chatFilters)],
      models: [admit, authenticate, makeModelListFilter(directory, view)],
      service: [admit, authenticate, makeDuplicateFilter(duplicates, serviceFilters)],
    },
    tls: { files: findTlsFiles(settings, 'caller'), logger },
    journal,
    onEnded: (trace) => recordTrace(burn, metrics, trace),
    isReady: () =>
      isRulesViewCurrent(view, Date.now()) && directory.entryVms.length > 0 && !isLeaving,
    isLeaving: () => isLeaving,
    keepAliveMs: getKeepAliveMs(settings.drainNoticeMs),
    metrics,
    logger,
  });
  const operatorServer = makeOperatorServer({
    vmId: self.vmId,
    journal,
    getBurn: () => buildBurnReport(burn, self.vmId, settings.burnTargetPercent, Date.now()),
    token: settings.operatorToken,
    tls: { files: findTlsFiles(settings, 'operator'), logger },
    view,
    rulesInbox,
    quarantine,
    metrics,
    logger,
    readHistory: () => readRuleHistory(table, view.revision),
    getStatus: () =>
      buildStatus({
        self,
        isLeaving,
        rulesRevision: view.revision,
        directory,
        members: members.listMembers(),
        shards: allocator.listShardOwners(),
        journal,
      }),
  });
  listen(callerServer, settings.callerListen);
  listen(operatorServer, settings.operatorListen);
  logger.info({ callers: settings.callerListen }, 'daemon: started');

  const onLeaving = (): void => {
    isLeaving = true;
    logger.info('daemon: leaving');
    sendHeartbeat();
  };
  return {
    stop: (onStopped) => {
      const stopParts = {
        server: callerServer,
        noticeMs: settings.drainNoticeMs,
        onLeaving,
        flush: async () => undefined,
        onStopped: () => {
          clearInterval(heartbeatTimer);
          mesh.close();
          logger.info('daemon: stopped');
          onStopped();
        },
      };
      startTask(
        'graceful stop',
        () => runGracefulStop(stopParts),
        (name, error) => {
          if (error !== undefined) handleTaskEnd(name, error);
        },
      );
    },
  };
}
