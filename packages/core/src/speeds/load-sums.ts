/** Sums the load reports of all VMs, and learns from them how much load each server handles well. */

import type {
  ServerLoadItem,
  ServerSummary,
  ServiceLoadItem,
  ServiceName,
  ServiceSummary,
  UpstreamId,
  VmId,
} from '@tarragonspool/protocol';
import {
  makeServerCurve,
  predictAnswerMs,
  recordAnswers,
  recordRefusals,
  updateHandles,
  type ServerCurve,
} from './server-curve.js';
import { computeRoom } from './service-room.js';
import type { TenantDemand } from './tenant-room.js';

/** A usable server as it is listed. */
export type SummedServer = { readonly upstreamId: UpstreamId; readonly slots: number };

/** What the reports say of one server. */
type ServerSums = {
  /** Undefined until the server is found in the list. */
  curve: ServerCurve | undefined;
  /** Busy times of the last steps, newest last, and of the present one. */
  readonly steps: number[];
  busyMs: number;
  answers: number;
  answerMs: number;
  refusals: number;
  inFlight: number;
};

type TenantSums = {
  arrived: number;
  /** Calls per second now and usually. */
  perS: number;
  usualPerS: number;
  /** Time over which the usual is known. */
  knownMs: number;
};

type VmReport = { readonly at: number; readonly item: ServiceLoadItem };

type ServiceSums = {
  readonly servers: Map<UpstreamId, ServerSums>;
  readonly tenants: Map<string, TenantSums>;
  /** The latest report of each VM. */
  readonly reports: Map<VmId, VmReport>;
};

/** Sums of the VM that leads a ranking. */
export type LoadSums = {
  readonly services: Map<ServiceName, ServiceSums>;
  /** Lengths of the last steps, newest last. */
  readonly stepsMs: number[];
  steppedAt: number;
  /** Latest summary of the VM that led before. */
  readonly earlier: Map<ServiceName, ServiceSummary>;
};

/** A report counts for this long: a VM with traffic reports far more often. */
export const REPORT_LIFE_MS = 1_000;
/** Steps over which requests in flight are averaged: a VM reports once in each. */
const AVERAGED_STEPS = 2;
/** A longer step shows that this process stood still: reports of unknown age were read at once. */
const MAX_STEP_MS = 300;
/** Times over which the arrivals now and usually are averaged. */
const NOW_MS = 200;
const USUAL_MS = 300_000;
/** A tenant that sends less than this is forgotten. */
const LEAST_PER_S = 0.01;
const MS_PER_S = 1_000;

/** Makes empty sums. */
export function makeLoadSums(now: number): LoadSums {
  return { services: new Map(), stepsMs: [], steppedAt: now, earlier: new Map() };
}

function getOrAddSums(sums: LoadSums, service: ServiceName): ServiceSums {
  const known = sums.services.get(service);
  if (known !== undefined) return known;
  const added = { servers: new Map(), tenants: new Map(), reports: new Map() };
  sums.services.set(service, added);
  return added;
}

function getOrAddServer({ servers }: ServiceSums, upstreamId: UpstreamId): ServerSums {
  const known = servers.get(upstreamId);
  if (known !== undefined) return known;
  const counts = { busyMs: 0, answers: 0, answerMs: 0, refusals: 0, inFlight: 0 };
  const added = { curve: undefined, steps: [], ...counts };
  servers.set(upstreamId, added);
  return added;
}

function addItem(service: ServiceSums, item: ServerLoadItem): void {
  const server = getOrAddServer(service, item.upstreamId);
  // A VM that stood still can't say when its requests ended.
  server.busyMs += Math.min(item.busyMs, (item.inFlight + item.answers + 1) * MAX_STEP_MS);
  server.answers += item.answers;
  server.answerMs += item.answerMs;
  server.refusals += item.refusals;
}

/** Adds the report of one VM. */
export function recordReport(
  sums: LoadSums,
  vmId: VmId,
  items: readonly ServiceLoadItem[],
  now: number,
): void {
  for (const item of items) {
    const service = getOrAddSums(sums, item.service);
    service.reports.set(vmId, { at: now, item });
    for (const server of item.servers) addItem(service, server);
    for (const { tenant, count } of item.arrivals) {
      const empty = { arrived: 0, perS: 0, usualPerS: 0, knownMs: 0 };
      const known = service.tenants.get(tenant) ?? empty;
      known.arrived += count;
      service.tenants.set(tenant, known);
    }
  }
}

/** Records the summary of another VM, from which this VM continues if it becomes the one that sums. */
export function recordEarlier(sums: LoadSums, summaries: readonly ServiceSummary[]): void {
  for (const summary of summaries) sums.earlier.set(summary.service, summary);
}

/** Drops what was counted; what was learned of servers and tenants is kept. */
function dropCounts(sums: LoadSums): void {
  sums.stepsMs.length = 0;
  for (const service of sums.services.values()) {
    service.reports.clear();
    for (const tenant of service.tenants.values()) tenant.arrived = 0;
    for (const server of service.servers.values()) {
      server.steps.length = 0;
      Object.assign(server, { busyMs: 0, answers: 0, answerMs: 0, refusals: 0, inFlight: 0 });
    }
  }
}

function stepServer(server: ServerSums, averagedMs: number, elapsedMs: number): void {
  server.steps.push(server.busyMs);
  if (server.steps.length > AVERAGED_STEPS) server.steps.shift();
  server.inFlight = server.steps.reduce((sum, busyMs) => sum + busyMs, 0) / averagedMs;
  const { curve, inFlight, answers, answerMs } = server;
  if (curve !== undefined) {
    recordAnswers(curve, { inFlight, answers, answerMs });
    if (server.refusals > 0) recordRefusals(curve, inFlight);
    updateHandles(curve, elapsedMs);
  }
  Object.assign(server, { busyMs: 0, answers: 0, answerMs: 0, refusals: 0 });
}

function stepTenant(tenant: TenantSums, elapsedMs: number): void {
  const perS = (tenant.arrived * MS_PER_S) / elapsedMs;
  tenant.arrived = 0;
  tenant.knownMs += elapsedMs;
  tenant.perS += Math.min(1, elapsedMs / NOW_MS) * (perS - tenant.perS);
  // What is known of a tenant for a short time is its mean so far.
  const usualMs = Math.min(USUAL_MS, tenant.knownMs);
  tenant.usualPerS += (elapsedMs / usualMs) * (perS - tenant.usualPerS);
}

function stepService(
  service: ServiceSums,
  averagedMs: number,
  elapsedMs: number,
  now: number,
): void {
  for (const [vmId, { at }] of service.reports) {
    if (at < now - REPORT_LIFE_MS) service.reports.delete(vmId);
  }
  for (const server of service.servers.values()) stepServer(server, averagedMs, elapsedMs);
  for (const [name, tenant] of service.tenants) {
    stepTenant(tenant, elapsedMs);
    if (Math.max(tenant.perS, tenant.usualPerS) < LEAST_PER_S) service.tenants.delete(name);
  }
}

/** Ends a step of the averages; called at regular times. Returns whether the sums are complete enough to be sent. */
export function stepSums(sums: LoadSums, now: number): boolean {
  const elapsedMs = Math.max(1, now - sums.steppedAt);
  sums.steppedAt = now;
  if (elapsedMs > MAX_STEP_MS) {
    dropCounts(sums);
    return false;
  }
  sums.stepsMs.push(elapsedMs);
  if (sums.stepsMs.length > AVERAGED_STEPS) sums.stepsMs.shift();
  const averagedMs = sums.stepsMs.reduce((sum, ms) => sum + ms, 0);
  for (const service of sums.services.values()) stepService(service, averagedMs, elapsedMs, now);
  return sums.stepsMs.length === AVERAGED_STEPS;
}

function startCurve(
  sums: LoadSums,
  service: ServiceName,
  { upstreamId, slots }: SummedServer,
): ServerCurve {
  const earlier = sums.earlier.get(service);
  return makeServerCurve(
    slots,
    earlier?.servers.find((known) => known.upstreamId === upstreamId),
  );
}

function listDemands({ tenants }: ServiceSums): TenantDemand[] {
  return [...tenants].map(([tenant, { perS, usualPerS }]) => ({ tenant, perS, usualPerS }));
}

function countWaiting({ reports }: ServiceSums): { waiting: number; waitingLate: number } {
  let waiting = 0;
  let waitingLate = 0;
  for (const { item } of reports.values()) {
    waiting += item.waiting;
    waitingLate += item.waitingLate;
  }
  return { waiting, waitingLate };
}

/** Sums the requests in flight of the latest reports by server. */
function countInFlightNow({ reports }: ServiceSums): Map<UpstreamId, number> {
  const levels = new Map<UpstreamId, number>();
  for (const { item } of reports.values()) {
    for (const { upstreamId, inFlight } of item.servers) {
      levels.set(upstreamId, (levels.get(upstreamId) ?? 0) + inFlight);
    }
  }
  return levels;
}

/** Builds the summary of one service; undefined if no VM has reported traffic lately. */
export function buildSummary(
  sums: LoadSums,
  service: ServiceName,
  listed: readonly SummedServer[],
): ServiceSummary | undefined {
  const counted = sums.services.get(service);
  if (counted === undefined || counted.reports.size === 0) return undefined;
  const listedIds = new Set(listed.map(({ upstreamId }) => upstreamId));
  for (const upstreamId of counted.servers.keys()) {
    if (!listedIds.has(upstreamId)) counted.servers.delete(upstreamId);
  }
  const servers: ServerSummary[] = [];
  const levels = countInFlightNow(counted);
  for (const server of listed) {
    const known = getOrAddServer(counted, server.upstreamId);
    if (known.curve?.slots !== server.slots) known.curve = startCurve(sums, service, server);
    const { curve } = known;
    const { handles } = curve;
    const inFlight = levels.get(server.upstreamId) ?? 0;
    const answerMs = Math.ceil(predictAnswerMs(curve, inFlight + 1));
    const handledMs = Math.ceil(predictAnswerMs(curve, handles));
    servers.push({ upstreamId: server.upstreamId, inFlight, handles, handledMs, answerMs });
  }
  const tenants = listDemands(counted);
  const room = computeRoom({ servers, tenants, ...countWaiting(counted) });
  return { service, servers, ...room };
}
