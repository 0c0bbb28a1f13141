/**
 * Chooses a server of a plain service from this VM's own observations: its requests in flight, recent
 * failures and answer times. Health checks and load reports are not used.
 */

import type { DataCentre, UpstreamId } from '@tarragonspool/protocol';
import type { UpstreamRecord } from './routing-types.js';

/** This VM's observations of one server. */
export type ServerLoad = {
  inFlight: number;
  /** Share of recent requests that failed, as of `failureSeenAt`; decays over time. */
  failureShare: number;
  failureSeenAt: number;
  /** Until when the server is avoided; 0 if it never was. */
  avoidUntil: number;
  /** Mean time of recent answers in milliseconds; 0 before the first. */
  answerMs: number;
};

/** Server loads by upstream id; an entry is made when a server is first considered. */
export type ServerLoads = Map<UpstreamId, ServerLoad>;

/** Input to the choice of a server. */
export type ServerChoice = {
  readonly servers: Iterable<UpstreamRecord>;
  readonly loads: ServerLoads;
  readonly excluded: ReadonlySet<UpstreamId>;
  readonly dataCentre: DataCentre;
  /** Returns a random number in [0, 1), to spread requests over equal servers. */
  readonly takeFraction: () => number;
  readonly now: number;
};

/** Weight of one outcome in the failure share. */
const FAILURE_WEIGHT = 0.15;
const FAILURE_HALF_LIFE_MS = 3_000;
/** Cost of a failure share of 1; costs are in requests in flight. */
const FAILURE_PENALTY = 12;
const ANSWER_TIME_WEIGHT = 0.1;
const OTHER_DATA_CENTRE_PENALTY = 0.4;

/** Finds the load of a server, or adds an empty one. */
export function getOrAddServerLoad(loads: ServerLoads, upstreamId: UpstreamId): ServerLoad {
  const known = loads.get(upstreamId);
  if (known !== undefined) return known;
  const load = {
    inFlight: 0,
    failureShare: 0,
    failureSeenAt: 0,
    avoidUntil: 0,
    answerMs: 0,
  };
  loads.set(upstreamId, load);
  return load;
}

/** Measures the share of recent requests to a server that failed. */
export function measureFailureShare(load: ServerLoad, now: number): number {
  const halves = (now - load.failureSeenAt) / FAILURE_HALF_LIFE_MS;
  return load.failureShare * 0.5 ** halves;
}

/** Records whether a request to a server failed. */
export function recordOutcome(load: ServerLoad, isFailure: boolean, now: number): void {
  const share = measureFailureShare(load, now);
  load.failureShare = share + FAILURE_WEIGHT * ((isFailure ? 1 : 0) - share);
  load.failureSeenAt = now;
}

/** Updates the mean answer time of a server with one answer, in milliseconds. */
export function recordAnswerTime(load: ServerLoad, answerMs: number): void {
  if (load.answerMs === 0) load.answerMs = answerMs;
  else load.answerMs += ANSWER_TIME_WEIGHT * (answerMs - load.answerMs);
}

/**
 * Computes a server's answer time relative to the fastest server, limited to 1 to 4; 1 if unknown.
 */
function computeSlowness(load: ServerLoad, fastestMs: number): number {
  if (load.answerMs === 0 || fastestMs === 0) return 1;
  return Math.min(4, Math.max(1, load.answerMs / fastestMs));
}

function findFastestMs({ servers, loads }: ServerChoice): number {
  let fastest = 0;
  for (const { upstreamId } of servers) {
    const answerMs = loads.get(upstreamId)?.answerMs ?? 0;
    if (answerMs > 0 && (fastest === 0 || answerMs < fastest)) fastest = answerMs;
  }
  return fastest;
}

/** Chooses the server with the lowest cost; undefined if all are leaving or excluded. */
export function chooseServer(choice: ServerChoice): UpstreamRecord | undefined {
  const { loads, excluded, dataCentre, now } = choice;
  const fastestMs = findFastestMs(choice);
  let best: UpstreamRecord | undefined;
  let bestCost = Infinity;
  for (const server of choice.servers) {
    if (server.isLeaving || excluded.has(server.upstreamId)) continue;
    const load = getOrAddServerLoad(loads, server.upstreamId);
    const isAvoided = load.avoidUntil > now;
    const dataCentrePenalty = server.dataCentre === dataCentre ? 0 : OTHER_DATA_CENTRE_PENALTY;
    const cost =
      (load.inFlight + 1) * computeSlowness(load, fastestMs) +
      FAILURE_PENALTY * measureFailureShare(load, now) +
      dataCentrePenalty +
      (isAvoided ? 1_000 : 0) +
      choice.takeFraction();
    if (cost >= bestCost) continue;
    best = server;
    bestCost = cost;
  }
  return best;
}
