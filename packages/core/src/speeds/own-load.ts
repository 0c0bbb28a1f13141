/** What one VM sends to the servers of plain services, counted for its reports. */

import type {
  ServerLoadItem,
  ServiceLoadItem,
  ServiceName,
  UpstreamId,
} from '@tarragonspool/protocol';

type ServerCount = {
  inFlight: number;
  /** Until when `busyMs` is counted. */
  countedAt: number;
  busyMs: number;
  answers: number;
  answerMs: number;
  refusals: number;
};

type ServiceCount = {
  waiting: number;
  waitingLate: number;
  readonly arrivals: Map<string, number>;
  readonly servers: Map<UpstreamId, ServerCount>;
  /** Whether anything has changed since the last report. */
  hasChanged: boolean;
};

/** Counts of one VM by service. */
export type OwnLoad = Map<ServiceName, ServiceCount>;

/** How one request to a server ended. */
export type OwnOutcome = 'answered' | 'refused' | 'other';

/** Whether a call waits for room on time, or for what calls on time leave. */
export type WaitKind = 'waiting' | 'waitingLate';

/** A longer gap between reports shows that the process stood still; what it sent then is not known. */
const MAX_COUNTED_MS = 300;

function getOrAddService(load: OwnLoad, service: ServiceName): ServiceCount {
  const known = load.get(service);
  if (known !== undefined) return known;
  const added: ServiceCount = {
    waiting: 0,
    waitingLate: 0,
    arrivals: new Map(),
    servers: new Map(),
    hasChanged: false,
  };
  load.set(service, added);
  return added;
}

function countBusy(server: ServerCount, now: number): void {
  const elapsedMs = Math.min(MAX_COUNTED_MS, now - server.countedAt);
  server.busyMs += server.inFlight * elapsedMs;
  server.countedAt = now;
}

function getOrAddServer(counts: ServiceCount, upstreamId: UpstreamId, now: number): ServerCount {
  const known = counts.servers.get(upstreamId);
  if (known !== undefined) return known;
  const added = { inFlight: 0, countedAt: now, busyMs: 0, answers: 0, answerMs: 0, refusals: 0 };
  counts.servers.set(upstreamId, added);
  return added;
}

/** Records a call that arrived; the tenant is empty if it has none. */
export function recordArrival(load: OwnLoad, service: ServiceName, tenant: string): void {
  const counts = getOrAddService(load, service);
  counts.arrivals.set(tenant, (counts.arrivals.get(tenant) ?? 0) + 1);
  counts.hasChanged = true;
}

/** Records that a call begins, or with -1 ends, to wait for room. */
export function recordWait(
  load: OwnLoad,
  service: ServiceName,
  kind: WaitKind,
  change: 1 | -1,
): void {
  const counts = getOrAddService(load, service);
  counts[kind] += change;
  counts.hasChanged = true;
}

/** Records that a request was sent to a server. */
export function recordSent(
  load: OwnLoad,
  service: ServiceName,
  upstreamId: UpstreamId,
  now: number,
): void {
  const counts = getOrAddService(load, service);
  const server = getOrAddServer(counts, upstreamId, now);
  countBusy(server, now);
  server.inFlight += 1;
  counts.hasChanged = true;
}

/** Records that a request that was sent at `sentAt` has ended. */
export function recordEnded(
  load: OwnLoad,
  service: ServiceName,
  upstreamId: UpstreamId,
  { outcome, sentAt, now }: { outcome: OwnOutcome; sentAt: number; now: number },
): void {
  const counts = getOrAddService(load, service);
  const server = getOrAddServer(counts, upstreamId, now);
  countBusy(server, now);
  server.inFlight = Math.max(0, server.inFlight - 1);
  if (outcome === 'answered') {
    server.answers += 1;
    server.answerMs += now - sentAt;
  }
  if (outcome === 'refused') server.refusals += 1;
  counts.hasChanged = true;
}

/** Counts the requests of this VM that a server has now. */
export function countInFlight(load: OwnLoad, service: ServiceName, upstreamId: UpstreamId): number {
  return load.get(service)?.servers.get(upstreamId)?.inFlight ?? 0;
}

function takeServers(counts: ServiceCount, now: number): ServerLoadItem[] {
  const items: ServerLoadItem[] = [];
  for (const [upstreamId, server] of counts.servers) {
    countBusy(server, now);
    const { inFlight, busyMs, answers, answerMs, refusals } = server;
    items.push({ upstreamId, inFlight, busyMs, answers, answerMs, refusals });
    if (inFlight === 0) counts.servers.delete(upstreamId);
    Object.assign(server, { busyMs: 0, answers: 0, answerMs: 0, refusals: 0 });
  }
  return items;
}

/** Takes what is new since the last report; empty without traffic. */
export function takeReport(load: OwnLoad, now: number): ServiceLoadItem[] {
  const items: ServiceLoadItem[] = [];
  for (const [service, counts] of load) {
    const { waiting, waitingLate } = counts;
    const isIdle = waiting + waitingLate === 0 && counts.servers.size === 0;
    if (isIdle && !counts.hasChanged) {
      load.delete(service);
      continue;
    }
    const arrivals = [...counts.arrivals].map(([tenant, count]) => ({ tenant, count }));
    items.push({ service, waiting, waitingLate, arrivals, servers: takeServers(counts, now) });
    counts.arrivals.clear();
    counts.hasChanged = false;
  }
  return items;
}
