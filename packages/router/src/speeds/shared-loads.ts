/**
 * Shares the load of the servers of plain services between VMs: reports what this VM sends to the VM that
 * leads the ranking, sums the reports if this is that VM, and keeps the latest summary.
 */

import {
  buildSummary,
  countInFlight,
  isLightlyLoaded,
  makeLoadSums,
  recordArrival,
  recordEarlier,
  recordEnded,
  recordReport,
  recordSent,
  recordWait,
  stepSums,
  SUMMARY_LIFE_MS,
  takeReport,
  type OwnOutcome,
  type SummedServer,
  type WaitKind,
} from '@tarragonspool/core';
import type {
  LoadMessage,
  ServiceLoadItem,
  ServiceName,
  ServiceSummary,
  UpstreamId,
  VmId,
} from '@tarragonspool/protocol';
import type { Logger } from '../logging/logger.js';

/** Metrics of the shared loads. */
export type SharedLoadMetrics = {
  readonly loadSummaries: { readonly set: (value: number) => void };
};

/** Dependencies of the shared loads. */
export type SharedLoadParts = {
  readonly self: VmId;
  readonly sendTo: (vmId: VmId, message: LoadMessage) => void;
  readonly broadcast: (message: LoadMessage) => void;
  /** Whether the load of a service is shared. */
  readonly isShared: (service: ServiceName) => boolean;
  /** Name of the ranking whose first VM sums the reports of a service. */
  readonly findRanking: (service: ServiceName) => ServiceName;
  /** Finds that VM; undefined if it would be this one, and too few others reach it. */
  readonly findLeader: (ranking: ServiceName) => VmId | undefined;
  readonly listServers: (service: ServiceName) => readonly SummedServer[];
  readonly metrics: SharedLoadMetrics;
  readonly logger: Logger;
};

/** The shared loads of one VM; nothing is recorded or known of services whose load is not shared. */
export type SharedLoads = {
  /** Records a call; the tenant is empty if it has none. */
  readonly recordArrival: (service: ServiceName, tenant: string) => void;
  /** Records that a call is sent to a server; returns a function that records how that ended. */
  readonly beginSend: (
    service: ServiceName,
    upstreamId: UpstreamId,
    now: number,
  ) => (outcome: OwnOutcome, now: number) => void;
  /** Calls a function at the next summary, unless the function that it returns was called before. */
  readonly beginWait: (service: ServiceName, kind: WaitKind, onSummary: () => void) => () => void;
  /** Finds the summary of a service; undefined unless it is fresh. */
  readonly findSummary: (service: ServiceName, now: number) => ServiceSummary | undefined;
  /** Counts the requests at a server beyond those that this VM had there at the latest summary. */
  readonly countSentSince: (service: ServiceName, upstreamId: UpstreamId) => number;
  readonly handleMessage: (from: VmId, message: LoadMessage, now: number) => void;
  /** Sends the reports that are due, and summaries if this VM leads; called at regular times. */
  readonly tick: (now: number) => void;
  /** Whether any load is shared, or another VM reports. */
  readonly isBusy: () => boolean;
};

type KnownSummary = {
  readonly summary: ServiceSummary;
  readonly readAt: number;
  readonly inFlight: ReadonlyMap<UpstreamId, number>;
};

const NO_ACTION = (): void => undefined;
/** Shortest time between summaries while all servers are lightly loaded: two ticks, less their jitter. */
const LIGHT_LOAD_INTERVAL_MS = 150;
/** Ticks go on for this long after the last traffic, so that reports stay spread over time. */
const BUSY_MS = 5_000;

/** Makes the shared loads of a VM. */
export function makeSharedLoads(parts: SharedLoadParts, startedAt: number): SharedLoads {
  const { self, logger } = parts;
  const own = new Map();
  const sums = makeLoadSums(startedAt);
  const known = new Map<ServiceName, KnownSummary>();
  const waits = new Map<ServiceName, Set<() => void>>();
  let leader: VmId | undefined;
  let tickedAt = startedAt;
  let trafficAt = -Infinity;
  let broadcastAt = -Infinity;

  function readSummaries(summaries: readonly ServiceSummary[], now: number): void {
    for (const summary of summaries) {
      const { service, servers } = summary;
      const counts = servers.map(
        ({ upstreamId }) => [upstreamId, countInFlight(own, service, upstreamId)] as const,
      );
      known.set(service, { summary, readAt: now, inFlight: new Map(counts) });
      const waiting = [...(waits.get(service) ?? [])];
      for (const onSummary of waiting) onSummary();
    }
  }

  /** Groups what this VM reports by ranking. */
  function groupReports(now: number): Map<ServiceName, ServiceLoadItem[]> {
    const groups = new Map<ServiceName, ServiceLoadItem[]>();
    for (const item of takeReport(own, now)) {
      const ranking = parts.findRanking(item.service);
      groups.set(ranking, [...(groups.get(ranking) ?? []), item]);
    }
    return groups;
  }

  function report(now: number): void {
    for (const [ranking, services] of groupReports(now)) {
      trafficAt = now;
      const to = parts.findLeader(ranking);
      if (to !== leader) logger.info({ ranking, leader: to }, 'loads: leader changed');
      leader = to;
      if (to === undefined) continue;
      if (to === self) recordReport(sums, self, services, now);
      else parts.sendTo(to, { kind: 'load-report', ranking, services });
    }
  }

  function broadcastSums(now: number): void {
    if (!stepSums(sums, now)) return;
    const groups = new Map<ServiceName, ServiceSummary[]>();
    for (const service of sums.services.keys()) {
      const ranking = parts.findRanking(service);
      if (parts.findLeader(ranking) !== self) continue;
      const summary = buildSummary(sums, service, parts.listServers(service));
      if (summary !== undefined) groups.set(ranking, [...(groups.get(ranking) ?? []), summary]);
    }
    const isAllLight = [...groups.values()].every((summaries) => summaries.every(isLightlyLoaded));
    if (isAllLight && now - broadcastAt < LIGHT_LOAD_INTERVAL_MS) return;
    if (groups.size > 0) broadcastAt = now;
    for (const [ranking, services] of groups) {
      parts.broadcast({ kind: 'load-summary', ranking, services });
      readSummaries(services, now);
    }
  }

  function dropOld(now: number): void {
    for (const [service, { readAt }] of known) {
      if (now - readAt > SUMMARY_LIFE_MS) known.delete(service);
    }
    parts.metrics.loadSummaries.set(known.size);
  }

  function findSummary(service: ServiceName, now: number): ServiceSummary | undefined {
    const found = known.get(service);
    if (found === undefined || now - found.readAt > SUMMARY_LIFE_MS) return undefined;
    return parts.isShared(service) ? found.summary : undefined;
  }

  return {
    recordArrival: (service, tenant) => {
      if (parts.isShared(service)) recordArrival(own, service, tenant);
    },
    beginSend: (service, upstreamId, sentAt) => {
      if (!parts.isShared(service)) return NO_ACTION;
      recordSent(own, service, upstreamId, sentAt);
      return (outcome, now) => recordEnded(own, service, upstreamId, { outcome, sentAt, now });
    },
    beginWait: (service, kind, onSummary) => {
      recordWait(own, service, kind, 1);
      const waiting = waits.get(service) ?? new Set();
      waits.set(service, waiting.add(onSummary));
      return () => {
        if (waiting.delete(onSummary)) recordWait(own, service, kind, -1);
      };
    },
    findSummary,
    countSentSince: (service, upstreamId) =>
      countInFlight(own, service, upstreamId) - (known.get(service)?.inFlight.get(upstreamId) ?? 0),
    handleMessage: (from, message, now) => {
      if (message.kind === 'load-report') {
        trafficAt = now;
        recordReport(sums, from, message.services, now);
        return;
      }
      recordEarlier(sums, message.services);
      // Two VMs may sum for a while; each VM uses the sums that hold its own reports.
      if (from === parts.findLeader(message.ranking)) readSummaries(message.services, now);
    },
    tick: (now) => {
      tickedAt = now;
      report(now);
      broadcastSums(now);
      dropOld(now);
    },
    isBusy: () => own.size > 0 || tickedAt - trafficAt < BUSY_MS,
  };
}
