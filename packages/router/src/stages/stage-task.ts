/** The task that keeps the split of a pool between prefill and decode, on the VM that owns the pool. */

import {
  findStageChange,
  makeOrderLease,
  type OrderLease,
  type EngineStage,
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
/** A change must be wanted for so long before it is ordered. */
const SETTLE_MS = 1_200;
/** The same where an engine of the wanted stage leaves as planned. */
const LEFT_SETTLE_MS = 200;
/** The same where it vanished: a crashed engine is back sooner than another one has changed. */
const LOST_SETTLE_MS = 3_000;
/** Engines of a pool are listed within this time of the process's start; before it none is ordered. */
const START_SETTLE_MS = 6_000;
/** Least time between changes, so that each one shows its effect first. */
const CHANGE_INTERVAL_MS = 9_000;
/** An order without an answer may still be carried out within this time. */
const UNKNOWN_ORDER_MS = 13_000;
/** Time beyond the engine's own for the list to show the change. */
const LIST_LAG_MS = 2_500;
/** A report may be as old as this, so that it shows the stage or the order before. */
const REPORT_LAG_MS = 1_200;
/** An engine lets its running work end first. */
const RUN_OUT_MS = 9_000;

/** What the task remembers of one service. */
type ServiceStages = {
  readonly lease: OrderLease;
  wanted: StageChange | undefined;
  wantedSince: number;
  orderedAt: number;
  /** An order that may or may not have been taken: nothing else is ordered before it is settled. */
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

/** Finds the change that is due: wanted for long enough, or the one that is not settled. */
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
  const wanted = plan && findStageChange(plan.engines, plan.demand);
  if (!isSameChange(wanted, stages.wanted)) stages.wantedSince = now;
  stages.wanted = wanted;
  const hasPrefill = plan?.engines.some(({ stage }) => stage === 'prefill') ?? false;
  if (wanted === undefined || now < START_SETTLE_MS) return undefined;
  const wantedMs = now - stages.wantedSince;
  const isPlanned = isEngineLeaving(state, service, wanted.stage);
  if (isPlanned && wanted.isUrgent) return wantedMs >= LEFT_SETTLE_MS ? wanted : undefined;
  if (!hasPrefill) return wantedMs >= LOST_SETTLE_MS ? wanted : undefined;
  if (wantedMs < SETTLE_MS) return undefined;
  const isDue = wanted.isUrgent || now - stages.orderedAt >= CHANGE_INTERVAL_MS;
  return isDue ? wanted : undefined;
}

function tellOrdered(
  state: GatewayState,
  service: ServiceName,
  change: StageChange,
  forMs: number,
): void {
  const { upstreamId, stage } = change;
  const doneBy = getSteadyMs() + forMs;
  offer(state.pools.inbox, { kind: 'engine-ordered', service, upstreamId, stage, doneBy });
}

function* orderChange(
  state: GatewayState,
  service: ServiceName,
  stages: ServiceStages,
  change: StageChange,
): Task {
  const engine = state.upstreams.records.get(change.upstreamId);
  if (engine === undefined || engine.isLeaving) {
    stages.unsettled = undefined;
    return;
  }
  const switchMs = state.configuration?.services.get(service)?.engine?.stageSwitchMs ?? 0;
  const changeMs = switchMs + RUN_OUT_MS + LIST_LAG_MS;
  const report = yield* readReport(state, engine);
  if (report === undefined) return;
  if (report.isBusy || report.stage === change.stage) {
    // It is on its way, or the report lags behind the list: assumed until reports are newer.
    state.logger.info({ service, ...change, report }, 'stages: order not needed by report');
    stages.unsettled = undefined;
    tellOrdered(state, service, change, REPORT_LAG_MS);
    return;
  }
  const fence = yield* awaitLease(state, service, stages.lease);
  if (fence === undefined || !state.pools.isOwnerOf(service)) return;
  const { stage, upstreamId } = change;
  const { vmId: holder } = state.settings;
  const { orderCount } = report;
  const answer = yield* sendStageOrder(state, engine, { stage, holder, fence, orderCount });
  state.logger.info({ service, upstreamId, stage, fence, orderCount, answer }, 'stages: ordered');
  switch (answer) {
    case 'accepted':
    case 'holds-already':
      stages.unsettled = undefined;
      stages.orderedAt = getSteadyMs();
      tellOrdered(state, service, change, changeMs);
      return;
    case undefined: {
      // The engine may have taken it, or take it later: only this very order is sent again.
      stages.unsettled ??= { change, until: getSteadyMs() + UNKNOWN_ORDER_MS };
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

/** Runs until the process ends. */
export function* runStages(state: GatewayState): Task {
  const services = new Map<ServiceName, ServiceStages>();
  for (;;) {
    yield* waitMs(CHECK_INTERVAL_MS);
    if (state.isLeaving) return;
    for (const { name, engine } of state.configuration?.services.values() ?? []) {
      if (engine === undefined) continue;
      const stages = services.get(name) ?? makeServiceStages();
      services.set(name, stages);
      // Every VM watches, so that the next owner knows for how long a change has been wanted.
      const change = findDueChange(state, name, stages, getSteadyMs());
      if (change !== undefined && state.pools.isOwnerOf(name)) {
        yield* orderChange(state, name, stages, change);
      }
    }
  }
}
