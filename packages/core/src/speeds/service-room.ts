/**
 * Computes how many calls of a service may be sent, from what its servers handle well and have in flight.
 * Calls that can still be on time go first; what they leave is for calls that are late anyway.
 */

import type { ServiceSummary } from '@tarragonspool/protocol';
import { computeAdmittedShares, type TenantDemand } from './tenant-room.js';

/** One usable server. */
export type RoomServer = {
  readonly inFlight: number;
  readonly handles: number;
  /** Time of an answer with as many requests at a time as it handles well; 0 if not known. */
  readonly handledMs: number;
};

/** Servers of a service, and the calls that arrive and wait. */
export type RoomDemand = {
  readonly servers: readonly RoomServer[];
  readonly tenants: readonly TenantDemand[];
  /** Waiting calls that can still be on time, and those that are late. */
  readonly waiting: number;
  readonly waitingLate: number;
};

/** Part of a service's summary that is about room. */
export type ServiceRoom = Omit<ServiceSummary, 'service' | 'servers'>;

/** Time between two summaries, in milliseconds. */
export const SUMMARY_INTERVAL_MS = 100;
/** A server counts as filled up to this many times what it handles well. */
const MAX_COUNTED_FILL = 3;
/** Below this many times what the servers handle well there is room for all. */
const FREE_FILL = 1.2;
/** Fill that is aimed at beyond that: a short queue keeps servers busy between two summaries. */
const AIMED_FILL = 1.5;
/** Time within which a difference from the aimed fill is corrected: the delay of the reports. */
const CORRECTION_MS = 150;
/** However full servers are, this part of what they answer goes on being sent, to see changes. */
const LEAST_SUPPLY_SHARE = 0.2;
/** A wait for what is left over is foreseeable only if that is at least this part of all. */
const LEAST_LEFTOVER_SHARE = 0.05;
/** Callers that are refused come back after this time at least and at most. */
const MIN_RETRY_AFTER_MS = 250;
const MAX_RETRY_AFTER_MS = 3_000;
const MS_PER_S = 1_000;
/** A service is lightly loaded if each server has at most this part of what it handles well. */
const LIGHT_LOAD_FILL = 0.25;

/** Room for everything. */
const FREE: ServiceRoom = {
  share: 1,
  tenants: [],
  lateShare: 1,
  drainMs: 0,
  retryAfterMs: MIN_RETRY_AFTER_MS,
};

/** Computes the calls per second that servers can be sent; undefined if there is room for all. */
function computeSupply(servers: readonly RoomServer[]): number | undefined {
  let handles = 0;
  let knownHandles = 0;
  let inFlight = 0;
  let knownPerS = 0;
  for (const server of servers) {
    handles += server.handles;
    // What is stuck at one server takes no room at the others.
    inFlight += Math.min(server.inFlight, MAX_COUNTED_FILL * server.handles);
    if (server.handledMs === 0) continue;
    knownHandles += server.handles;
    knownPerS += (MS_PER_S * server.handles) / server.handledMs;
  }
  if (knownHandles === 0 || inFlight < FREE_FILL * handles) return undefined;
  // A server that has not answered yet is taken for one like the others.
  const answeredPerS = (knownPerS * handles) / knownHandles;
  const correction = (AIMED_FILL * handles - inFlight) * (MS_PER_S / CORRECTION_MS);
  return Math.max(LEAST_SUPPLY_SHARE * answeredPerS, answeredPerS + correction);
}

function limitRetryAfter(waitMs: number): number {
  return Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, waitMs));
}

/** Computes the room of a service until the next summary. */
export function computeRoom({ servers, tenants, waiting, waitingLate }: RoomDemand): ServiceRoom {
  const supplyPerS = computeSupply(servers);
  if (supplyPerS === undefined) return FREE;
  const arrivingPerS = tenants.reduce((sum, { perS }) => sum + perS, 0);
  const waitingPerS = (waiting * MS_PER_S) / SUMMARY_INTERVAL_MS;
  const wantedPerS = arrivingPerS + waitingPerS;
  const waitFactor = arrivingPerS > 0 ? wantedPerS / arrivingPerS : 1;
  const demands = tenants.map((demand) => ({ ...demand, perS: demand.perS * waitFactor }));
  const shares = computeAdmittedShares(demands, supplyPerS);
  const share = wantedPerS > 0 ? Math.min(1, supplyPerS / wantedPerS) : 1;
  const leftPerS = Math.max(0, supplyPerS - wantedPerS);
  const lateSent = (leftPerS * SUMMARY_INTERVAL_MS) / MS_PER_S;
  const lateShare = waitingLate > lateSent ? lateSent / waitingLate : 1;
  const leftForWaitingPerS = supplyPerS - arrivingPerS;
  const canDrain = leftForWaitingPerS > LEAST_LEFTOVER_SHARE * supplyPerS;
  const backlog = waiting + waitingLate;
  const drainMs = canDrain ? (backlog * MS_PER_S) / leftForWaitingPerS : undefined;
  const surplusMs = (MS_PER_S * Math.max(0, arrivingPerS - supplyPerS)) / supplyPerS;
  return {
    share,
    tenants: [...shares].map(([tenant, own]) => ({ tenant, share: own })),
    lateShare,
    ...(drainMs === undefined ? {} : { drainMs }),
    retryAfterMs: limitRetryAfter(drainMs ?? MS_PER_S + surplusMs),
  };
}

/** Whether the load of a service is so low that summaries may come half as often. */
export function isLightlyLoaded({ share, servers }: ServiceSummary): boolean {
  return (
    share === 1 && servers.every(({ inFlight, handles }) => inFlight <= LIGHT_LOAD_FILL * handles)
  );
}
