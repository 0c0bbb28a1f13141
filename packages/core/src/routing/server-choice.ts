/**
 * Chooses a server of a plain service by what this VM sees itself: its own requests in flight and
 * recent failures. Health checks and load reports are not asked.
 */

import type { DataCentre, UpstreamId } from '@tarragonspool/protocol';
import type { UpstreamRecord } from './routing-types.js';

/** What this VM has seen of one server. */
export type ServerLoad = {
  inFlight: number;
  /** Share of recent answers that failed, fading over time. */
  failureShare: number;
  failureSeenAt: number;
  /** Until when no new request is sent; 0 if none was refused. */
  avoidUntil: number;
  /** Mean time of recent answers in milliseconds; 0 before the first. */
  answerMs: number;
};

/** Loads by server; an entry appears with the first request. */
export type ServerLoads = Map<UpstreamId, ServerLoad>;

/** What a choice is made from. */
export type ServerChoice = {
  readonly servers: Iterable<UpstreamRecord>;
  readonly loads: ServerLoads;
  readonly excluded: ReadonlySet<UpstreamId>;
  readonly dataCentre: DataCentre;
  /** Random numbers from 0 up to 1, to spread equal choices. */
  readonly takeFraction: () => number;
  readonly now: number;
};

const FAILURE_WEIGHT = 0.15;
const FAILURE_HALF_LIFE_MS = 3_000;
const FAILURE_PENALTY = 12;
const ANSWER_TIME_WEIGHT = 0.1;
const OTHER_DATA_CENTRE_PENALTY = 0.4;

/** Finds the load of a server, or makes an empty one. */
export function findServerLoad(loads: ServerLoads, upstreamId: UpstreamId): ServerLoad {
  const known = loads.get(upstreamId);
  if (known !== undefined) return known;
  const load = { inFlight: 0, failureShare: 0, failureSeenAt: 0, avoidUntil: 0, answerMs: 0 };
  loads.set(upstreamId, load);
  return load;
}

function measureFailures(load: ServerLoad, now: number): number {
  const halves = (now - load.failureSeenAt) / FAILURE_HALF_LIFE_MS;
  return load.failureShare * 0.5 ** halves;
}

/** Records how a request at a server ended. */
export function recordOutcome(load: ServerLoad, isFailure: boolean, now: number): void {
  const share = measureFailures(load, now);
  load.failureShare = share + FAILURE_WEIGHT * ((isFailure ? 1 : 0) - share);
  load.failureSeenAt = now;
}

/** Records the time of an answer. */
export function recordAnswerTime(load: ServerLoad, answerMs: number): void {
  if (load.answerMs === 0) load.answerMs = answerMs;
  else load.answerMs += ANSWER_TIME_WEIGHT * (answerMs - load.answerMs);
}

/** Times are compared with the fastest server, within bounds. */
function computeSlowness(load: ServerLoad, fastestMs: number): number {
  if (load.answerMs === 0 || fastestMs === 0) return 1;
  return Math.min(4, Math.max(1, load.answerMs / fastestMs));
}

function findFastest({ servers, loads }: ServerChoice): number {
  let fastest = 0;
  for (const { upstreamId } of servers) {
    const answerMs = loads.get(upstreamId)?.answerMs ?? 0;
    if (answerMs > 0 && (fastest === 0 || answerMs < fastest)) fastest = answerMs;
  }
  return fastest;
}

/** Chooses the server with the least cost; undefined if none can be asked. */
export function chooseServer(choice: ServerChoice): UpstreamRecord | undefined {
  const { loads, excluded, dataCentre, now } = choice;
  const fastestMs = findFastest(choice);
  let best: UpstreamRecord | undefined;
  let bestCost = Infinity;
  for (const server of choice.servers) {
    if (server.isLeaving || excluded.has(server.upstreamId)) continue;
    const load = findServerLoad(loads, server.upstreamId);
    const isAvoided = load.avoidUntil > now;
    const distance = server.dataCentre === dataCentre ? 0 : OTHER_DATA_CENTRE_PENALTY;
    const cost =
      (load.inFlight + 1) * computeSlowness(load, fastestMs) +
      FAILURE_PENALTY * measureFailures(load, now) +
      distance +
      (isAvoided ? 1_000 : 0) +
      choice.takeFraction();
    if (cost >= bestCost) continue;
    best = server;
    bestCost = cost;
  }
  return best;
}
