/** Starts the tasks that own the daemon's state. */

import type { UpstreamId } from '@tarragonspool/protocol';
import type { AllocationMessage } from '../allocation/allocation-messages.js';
import { makeAllocation, type Allocation } from '../allocation/allocation-task.js';
import { runClaimLedger } from '../claims/claim-ledger.js';
import { runClaimSweep } from '../claims/claim-sweep-task.js';
import {
  listAliveVms,
  runDuplicateGuard,
  type DuplicateInboxMessage,
} from '../claims/duplicate-task.js';
import { runCancels, type CancelMessage } from '../engines/cancel-task.js';
import { runEnginePolls } from '../engines/engine-poll-task.js';
import { runMembership } from '../membership/membership-task.js';
import type { PeerMesh } from '../peers/peer-mesh.js';
import { runQuarantine } from '../quarantine/quarantine-task.js';
import type { QuarantineMessage } from '../quarantine/quarantine-types.js';
import { makeSuspectStore, runSuspectReader } from '../quarantine/suspect-store.js';
import { runRules, type RulesMessage } from '../rules/rules-task.js';
import type { Task } from '../tasks/tasks.js';
import { startTicker } from '../tasks/timers.js';
import { runDirectory } from '../upstreams/directory-task.js';
import type { DaemonState } from './daemon-state.js';

/** Starts a task that must run as long as the daemon. */
export type StartTask = (name: string, body: () => Task) => void;

const RULES_TICK_MS = 100;
const ALLOCATION_TICK_MS = 25;
const CANCEL_TICK_MS = 250;
const QUARANTINE_TICK_MS = 100;
const ENGINE_PROBE_MS = 250;
const DUPLICATE_TICK_MS = 50;

function startMembership(state: DaemonState, start: StartTask): void {
  const { directory, logger, platform, inboxes, membershipState } = state;
  const { allocation, membership } = inboxes;
  start('directory', () => runDirectory(platform.vmList, membership, logger));
  const parts = { state: membershipState, directory, allocation, logger };
  start('membership', () => runMembership(membership, parts));
}

function startRules(state: DaemonState, mesh: PeerMesh, start: StartTask): void {
  const { self, view, platform, metrics, invariants, logger, inboxes } = state;
  const { membership, rules } = inboxes;
  const { table, objects } = platform;
  const { broadcast, sendTo } = mesh;
  const shared = { view, table, objects, membership, metrics, invariants, logger };
  start('rules', () => runRules(rules, { ...shared, seed: self.incarnation, broadcast, sendTo }));
  startTicker<RulesMessage>(rules, RULES_TICK_MS, (now) => ({ kind: 'ticked', now }));
}

function startAllocation(state: DaemonState, mesh: PeerMesh, start: StartTask): Allocation {
  const { self, settings, directory, members, metrics, invariants, logger, inboxes } = state;
  const { allocation, cancels } = inboxes;
  const { policy, objective } = settings;
  const { sendTo } = mesh;
  const parts = { ...self, policy, objective, sendTo, cancels, invariants, logger };
  const allocator = makeAllocation(parts);
  start('allocation', () => allocator.run(allocation));
  startTicker<AllocationMessage>(allocation, ALLOCATION_TICK_MS, (now) => ({
    kind: 'ticked',
    liveVms: members.listLive(now),
    now,
  }));
  start('cancels', () => runCancels(cancels, { directory, metrics, logger }));
  startTicker<CancelMessage>(cancels, CANCEL_TICK_MS, (now) => ({ kind: 'ticked', now }));
  const { listPolled, endedIncarnations: ended } = allocator;
  const makeSweepView = () => ({ incarnations: members.listIncarnations(), ended });
  const polls = { directory, allocation, cancels, metrics, logger, listPolled, makeSweepView };
  start('engine polls', () => runEnginePolls(polls));
  return allocator;
}

function startClaims(state: DaemonState, mesh: PeerMesh, start: StartTask): void {
  const { self, members, platform, metrics, invariants, logger, inboxes } = state;
  const { claims, duplicates } = inboxes;
  const table = platform.claimsTable;
  start('claims', () => runClaimLedger(claims, { table, invariants, metrics, logger }));
  start('claim sweep', () => runClaimSweep({ self: self.vmId, table, members, metrics, logger }));
  start('duplicates', () => runDuplicateGuard(duplicates, { self, sendTo: mesh.sendTo, metrics }));
  startTicker<DuplicateInboxMessage>(duplicates, DUPLICATE_TICK_MS, (now) => ({
    kind: 'ticked',
    liveVms: members.listLive(now),
    aliveVms: listAliveVms(members.listMembers(), self.vmId, now),
  }));
}

function startQuarantine(state: DaemonState, mesh: PeerMesh, start: StartTask): void {
  const { directory, platform, metrics, logger, inboxes, quarantine } = state;
  const { broadcast, sendTo } = mesh;
  const probe = async (upstreamId: UpstreamId): Promise<boolean> => {
    const client = directory.engines.get(upstreamId)?.client;
    return (await client?.probe(Date.now() + ENGINE_PROBE_MS)) ?? true;
  };
  const store = makeSuspectStore(platform.table, logger);
  const links = { broadcast, sendTo, duplicates: inboxes.duplicates };
  start('quarantine', () => runQuarantine({ quarantine, store, probe, metrics, logger, ...links }));
  start('suspect reads', () => runSuspectReader(platform.table, quarantine));
  startTicker<QuarantineMessage>(quarantine.inbox, QUARANTINE_TICK_MS, (now) => ({
    kind: 'event',
    event: { kind: 'ticked', now },
  }));
}

/** Starts every controller. */
export function startControllers(state: DaemonState, mesh: PeerMesh, start: StartTask): Allocation {
  startMembership(state, start);
  startRules(state, mesh, start);
  startClaims(state, mesh, start);
  startQuarantine(state, mesh, start);
  return startAllocation(state, mesh, start);
}
