/** Everything that the daemon's tasks share: settings, views, inboxes and clients. */

import { makeBurnState, makeMembershipState, type BurnState } from '@tarragonspool/core';
import {
  makeAgent,
  makeGuardedTable,
  makeObjectClient,
  makeTableClient,
  makeVmListClient,
  type ObjectClient,
  type TableClient,
  type VmListClient,
} from '@tarragonspool/platform';
import type { DataCentre, Incarnation, VmId } from '@tarragonspool/protocol';
import { makeAllocationInbox, type AllocationInbox } from '../allocation/allocation-messages.js';
import { makeLedgerInbox, type LedgerInbox } from '../claims/claim-ledger.js';
import { makeDuplicateInbox, type DuplicateInbox } from '../claims/duplicate-task.js';
import { makeTableGuardOptions } from '../claims/guard-options.js';
import { makeCancelInbox, type CancelInbox } from '../engines/cancel-task.js';
import { makeInvariants, type Invariants } from '../invariants/invariants.js';
import { makeRequestJournal, type RequestJournal } from '../journal/request-journal.js';
import type { Logger } from '../logging/logger.js';
import {
  makeMembershipInbox,
  makeMembershipView,
  type MembershipInbox,
  type MembershipView,
} from '../membership/membership-task.js';
import { makeMetrics, type Metrics } from '../metrics/metrics.js';
import type { PeerIdentity } from '../peers/peer-link.js';
import { makeQuarantine } from '../quarantine/quarantine-task.js';
import type { Quarantine } from '../quarantine/quarantine-types.js';
import { makeRulesInbox, type RulesInbox } from '../rules/rules-task.js';
import { makeRulesView, type RulesView } from '../rules/rules-view.js';
import type { Settings } from '../settings/settings.js';
import { makeDirectory, type Directory } from '../upstreams/directory.js';

/** Clients of the platform. */
export type PlatformClients = {
  readonly table: TableClient;
  /** Claims have a share of their own, so that a burst of calls does not hold up rules. */
  readonly claimsTable: TableClient;
  readonly objects: ObjectClient;
  readonly vmList: VmListClient;
};

/** Inboxes of the daemon's tasks. */
export type DaemonInboxes = {
  readonly allocation: AllocationInbox;
  readonly cancels: CancelInbox;
  readonly claims: LedgerInbox;
  readonly duplicates: DuplicateInbox;
  readonly membership: MembershipInbox;
  readonly rules: RulesInbox;
};

/** What the daemon's tasks share. */
export type DaemonState = {
  readonly self: PeerIdentity;
  readonly settings: Settings;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly invariants: Invariants;
  readonly directory: Directory;
  readonly view: RulesView;
  readonly membershipState: ReturnType<typeof makeMembershipState>;
  readonly members: MembershipView;
  readonly platform: PlatformClients;
  readonly inboxes: DaemonInboxes;
  readonly quarantine: Quarantine;
  readonly journal: RequestJournal;
  readonly burn: BurnState;
  isLeaving: boolean;
};

const CLAIMS_TABLE_SHARE = 0.75;

function makePlatformClients(url: string, members: MembershipView): PlatformClients {
  const agent = makeAgent();
  const table = makeTableClient(url, agent);
  const countLiveVms = (): number => Math.max(1, members.listLive(Date.now()).length);
  const makeShare = (share: number): TableClient =>
    makeGuardedTable(table, makeTableGuardOptions(share, countLiveVms));
  return {
    table: makeShare(1 - CLAIMS_TABLE_SHARE),
    claimsTable: makeShare(CLAIMS_TABLE_SHARE),
    objects: makeObjectClient(url, agent),
    vmList: makeVmListClient(url, agent),
  };
}

function makeInboxes(): DaemonInboxes {
  return {
    allocation: makeAllocationInbox(),
    cancels: makeCancelInbox(),
    claims: makeLedgerInbox(),
    duplicates: makeDuplicateInbox(),
    membership: makeMembershipInbox(),
    rules: makeRulesInbox(),
  };
}

/** Makes the state of a daemon that starts now; `now` is the VM's incarnation. */
export function makeDaemonState(settings: Settings, logger: Logger, now: number): DaemonState {
  const self: PeerIdentity = {
    vmId: settings.vmId as VmId,
    incarnation: now as Incarnation,
    dataCentre: settings.dataCentre as DataCentre,
  };
  const metrics = makeMetrics();
  const membershipState = makeMembershipState(self.vmId);
  const leaving = { isLeaving: false };
  const members = makeMembershipView(membershipState, () => leaving.isLeaving);
  return Object.assign(leaving, {
    self,
    settings,
    logger,
    metrics,
    invariants: makeInvariants(metrics, logger),
    directory: makeDirectory(),
    view: makeRulesView(),
    membershipState,
    members,
    platform: makePlatformClients(settings.platformUrl, members),
    inboxes: makeInboxes(),
    quarantine: makeQuarantine(),
    journal: makeRequestJournal(settings.journalEntries),
    burn: makeBurnState(now, settings.burnSeries),
  });
}
