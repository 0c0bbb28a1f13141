/** The stage task: changes the split of a pool between prefill and decode, on the VM that owns the pool. */

import {
  askSend,
  canChangeAnother,
  findSplitChange,
  findStageChange,
  isLargePool,
  makeOrderLease,
  type OrderLease,
  type EngineStage,
  type PlannedEngine,
  type StageChange,
} from '@tarragonspool/core';
import type { ServiceName } from '@tarragonspool/protocol';
import type { GatewayState } from '../gateway/gateway-state.js';
import { offer, type Task } from '../tasks/tasks.js';
import { waitMs } from '../tasks/timers.js';
import { getSteadyMs } from '../time/steady-clock.js';
import { readReport, sendStageOrder } from './engine-calls.js';
import { awaitLease } from './lease-calls.js';

const CHECK_INTERVAL_MS = 250;
/** Used on VMs that do not become owners soon. */
const IDLE_CHECK_INTERVAL_MS = 1_000;
/** A change is ordered only after it was wanted for this long without a break. */
const SETTLE_TIME_MS = 1_200;
/** Used for an urgent change instead if an engine of the wanted stage leaves as planned. */
const PLANNED_SETTLE_MS = 200;
/**
 * Used instead if the pool has no prefill engine: one that crashed is back sooner than another
 * engine can change its stage.
 */
const NO_PREFILL_SETTLE_MS = 3_000;
/** Time from the process's start until the engines of a pool are listed; no change is ordered before. */
const STARTUP_MS = 6_000;
/** Minimum time between changes that are not urgent, so that each one takes effect before the next. */
const MIN_CHANGE_INTERVAL_MS = 9_000;
/** The same in a large pool, where one change shifts little and a few may run at a time. */
const MIN_LARGE_POOL_INTERVAL_MS = 500;
/** Time within which an engine may still execute an order that it has not answered. */
const UNSETTLED_ORDER_MS = 13_000;
/** Time after the engine's own change until the list of engines shows it. */
const LIST_LAG_MS = 2_500;
/** Maximum age of an engine's report, which may show the stage or the order from before a change. */
const REPORT_LAG_MS = 1_200;
/** Time for an engine to complete its running requests before it changes its stage. */
const FINISH_REQUESTS_MS = 9_000;

/** State of the stage task for one service. */
type ServiceStages = {
  readonly lease: OrderLease;
  wanted: StageChange | undefined;
  wantedSince: number;
  orderedAt: number;
  /** An order that the engine may or may not have taken; no other is sent before it is settled. */
  unsettled: { readonly change: StageChange; readonly until: number } | undefined;
};

function makeServiceStages(): ServiceStages {
  return {
    lease: makeOrderLease(),
    wanted: undefined,
    wantedSince: 0,
    orderedAt: -Infinity,
    unsettled: undefined,
  };
}

function isSameChange(a: StageChange | undefined, b: StageChange | undefined): boolean {
  return a?.stage === b?.stage;
}

function isEngineLeaving(state: GatewayState, service: ServiceName, stage: EngineStage): boolean {
  for (const record of state.upstreams.records.values()) {
    if (record.service === service && record.isLeaving && record.stage === stage) return true;
  }
  return false;
}

/** Whether the time since the last order allows one that is not urgent. */
function isIntervalOver(
  engines: readonly PlannedEngine[],
  { orderedAt }: ServiceStages,
  now: number,
): boolean {
  const intervalMs = isLargePool(engines) ? MIN_LARGE_POOL_INTERVAL_MS : MIN_CHANGE_INTERVAL_MS;
  return now - orderedAt >= intervalMs && (!isLargePool(engines) || canChangeAnother(engines));
}

/** Finds the change to order now: an unsettled order, else a change wanted for long enough. */
function findDueChange(
  state: GatewayState,
  service: ServiceName,
  stages: ServiceStages,
  now: number,
): StageChange | undefined {
  const { unsettled } = stages;
  if (unsettled !== undefined && now < unsettled.until) return unsettled.change;
  stages.unsettled = undefined;
  const plan = state.pools.readPlan(service, now);
  const wanted =
    plan &&
    (findStageChange(plan.engines, plan.demand) ?? findSplitChange(plan.engines, plan.demand));
  if (!isSameChange(wanted, stages.wanted)) stages.wantedSince = now;
  stages.wanted = wanted;
  const hasPrefill = plan?.engines.some(({ stage }) => stage === 'prefill') ?? false;
  if (wanted === undefined || now < STARTUP_MS) return undefined;
  const wantedMs = now - stages.wantedSince;
  const isPlanned = isEngineLeaving(state, service, wanted.stage);
  if (isPlanned && wanted.isUrgent) return wantedMs >= PLANNED_SETTLE_MS ? wanted : undefined;
  if (!hasPrefill) return wantedMs >= NO_PREFILL_SETTLE_MS ? wanted : undefined;
  if (wantedMs < SETTLE_TIME_MS) return undefined;
  const isDue = wanted.isUrgent || isIntervalOver(plan?.engines ?? [], stages, now);
  return isDue ? wanted : undefined;
}

function reportOrdered(
  state: GatewayState,
  service: ServiceName,
  change: StageChange,
  durationMs: number,
  idleChangeMs?: number,
): void {
  const { upstreamId, stage } = change;
  const doneBy = getSteadyMs() + durationMs;
  const order = { service, upstreamId, stage, doneBy, idleChangeMs };
  offer(state.pools.inbox, { kind: 'engine-ordered', ...order });
}

function* orderChange(
  state: GatewayState,
  service: ServiceName,
  stages: ServiceStages,
  change: StageChange,
): Task {
  const { upstreamId, stage } = change;
  const engine = state.upstreams.records.get(upstreamId);
  if (engine === undefined || engine.isLeaving) {
    stages.unsettled = undefined;
    return;
  }
  const { incarnation } = engine;
  const switchMs = state.configuration?.services.get(service)?.engine?.stageSwitchMs ?? 0;
  const idleChangeMs = switchMs + LIST_LAG_MS;
  const changeMs = FINISH_REQUESTS_MS + idleChangeMs;
  const report = yield* readReport(state, upstreamId);
  if (report === undefined) return;
  if (report.isBusy || report.stage === change.stage) {
    // The change is under way, or the report is older than the list: assumed until reports are newer.
    state.logger.info(
      { service, ...change, report },
      'stages: no order needed by report, engine is busy or has the stage',
    );
    stages.unsettled = undefined;
    reportOrdered(state, service, change, REPORT_LAG_MS);
    return;
  }
  const fence = yield* awaitLease(state, service, stages.lease);
  if (fence === undefined || !state.pools.isOwnerOf(service)) return;
  const question = { kind: 'order', incarnation } as const;
  const clearance = askSend(state.upstreams, upstreamId, question, getSteadyMs());
  if (clearance.kind === 'refused') {
    const { refusal } = clearance;
    state.logger.info({ service, upstreamId, ...refusal }, 'stages: engine may not get the order');
    state.metrics.sendsRefused.inc({ reason: refusal.reason });
    return;
  }
  const { vmId: holder } = state.settings;
  const { orderCount } = report;
  const order = { stage, holder, fence, orderCount };
  const answer = yield* sendStageOrder(state, clearance.server, order);
  state.logger.info(
    { service, upstreamId, stage, fence, orderCount, answer },
    'stages: change ordered',
  );
  switch (answer) {
    case 'accepted':
    case 'holds-already':
      stages.unsettled = undefined;
      stages.orderedAt = getSteadyMs();
      reportOrdered(state, service, change, changeMs, idleChangeMs);
      return;
    case undefined: {
      // The engine may have taken the order, or take it later: only the same order is sent again.
      stages.unsettled ??= { change, until: getSteadyMs() + UNSETTLED_ORDER_MS };
      return;
    }
    case 'conflict':
    case 'fenced':
    case 'rejected':
      stages.wantedSince = getSteadyMs();
      return;
    default:
      answer satisfies never;
  }
}

/** Runs the stage task until this VM leaves. */
export function* runStages(state: GatewayState): Task {
  const services = new Map<ServiceName, ServiceStages>();
  for (;;) {
    const isHub = state.fleet.isHub(getSteadyMs());
    yield* waitMs(isHub ? CHECK_INTERVAL_MS : IDLE_CHECK_INTERVAL_MS);
    if (state.isLeaving) return;
    for (const { name, engine } of state.configuration?.services.values() ?? []) {
      if (engine === undefined) continue;
      const stages = services.get(name) ?? makeServiceStages();
      services.set(name, stages);
      // Every VM does this, so that the next owner knows for how long a change has been wanted.
      const change = findDueChange(state, name, stages, getSteadyMs());
      if (change !== undefined && state.pools.isOwnerOf(name)) {
        yield* orderChange(state, name, stages, change);
      }
    }
  }
}
