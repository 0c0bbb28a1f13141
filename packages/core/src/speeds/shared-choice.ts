/**
 * Chooses a server of a plain service from the load over all VMs. All VMs know the same summary, so each
 * chooses at random, in proportion to what each server lacks to an equal load; the nearer of two servers
 * that are as free is preferred.
 */

import type { DataCentre, ServerSummary, UpstreamId } from '@tarragonspool/protocol';
import type { UpstreamRecord } from '../routing/routing-types.js';
import { measureFailureShare, type ServerLoads } from '../routing/server-choice.js';

/** Input to the choice. */
export type SharedChoice = {
  readonly servers: Iterable<UpstreamRecord>;
  readonly summary: readonly ServerSummary[];
  /** Requests that this VM has at a server beyond those that it had when it read the summary. */
  readonly countSentSince: (upstreamId: UpstreamId) => number;
  /** This VM's own observations: failures, and servers to avoid for a while. */
  readonly loads: ServerLoads;
  readonly excluded: ReadonlySet<UpstreamId>;
  readonly dataCentre: DataCentre;
  readonly takeFraction: () => number;
  readonly now: number;
};

/**
 * Servers are filled in proportion to what they lack to this many times the mean fill, at least to
 * `LEAST_FILL` of what they handle well. A lesser factor evens loads out faster, but the summary is older
 * than most requests, so loads would swing.
 */
const FILL_FACTOR = 3;
const LEAST_FILL = 1;
/** A stuck server counts in the mean with no more than this many times what it handles well. */
const MAX_COUNTED_FILL = 2;
/** Share of requests to slower servers falls with this power of their answer time. */
const ANSWER_TIME_POWER = 1.5;
/** Greatest preference of a near server, when it is idle. */
const NEAR_PREFERENCE = 2;
/** Preference falls with this power of the share of requests that did not fail. */
const FAILURE_POWER = 6;
const LEAST_HEALTH = 0.01;
/** Requests that a server gets which no VM has heard of yet, at the least. */
const NEW_SERVER_HANDLES = 1;

type Candidate = {
  readonly server: UpstreamRecord;
  readonly inFlight: number;
  readonly handles: number;
  readonly handledMs: number;
};

function listCandidates(choice: SharedChoice): Candidate[] {
  const known = new Map(choice.summary.map((item) => [item.upstreamId, item]));
  const candidates: Candidate[] = [];
  for (const server of choice.servers) {
    const { upstreamId } = server;
    if (server.isLeaving || choice.excluded.has(upstreamId)) continue;
    const item = known.get(upstreamId);
    const { inFlight = 0, handles = NEW_SERVER_HANDLES, handledMs = 0 } = item ?? {};
    const sentSince = Math.max(0, choice.countSentSince(upstreamId));
    candidates.push({ server, inFlight: inFlight + sentSince, handles, handledMs });
  }
  const free = candidates.filter(
    ({ server: { upstreamId } }) => (choice.loads.get(upstreamId)?.avoidUntil ?? 0) <= choice.now,
  );
  return free.length > 0 ? free : candidates;
}

function computeFill(candidates: readonly Candidate[]): number {
  let handles = 0;
  let inFlight = 0;
  for (const candidate of candidates) {
    handles += candidate.handles;
    inFlight += Math.min(candidate.inFlight, MAX_COUNTED_FILL * candidate.handles);
  }
  return Math.max(LEAST_FILL, (FILL_FACTOR * inFlight) / handles);
}

function findFastestMs(candidates: readonly Candidate[]): number {
  const known = candidates.map(({ handledMs }) => handledMs).filter((handledMs) => handledMs > 0);
  return known.length === 0 ? 1 : Math.min(...known);
}

function computeHealth({ loads, now }: SharedChoice, { server }: Candidate): number {
  const load = loads.get(server.upstreamId);
  if (load === undefined) return 1;
  return Math.max(LEAST_HEALTH, (1 - measureFailureShare(load, now)) ** FAILURE_POWER);
}

function computeWeight(
  choice: SharedChoice,
  candidate: Candidate,
  { fill, fastestMs }: { fill: number; fastestMs: number },
): number {
  const { server, inFlight, handles, handledMs } = candidate;
  const lacking = Math.max(0, fill * handles - inFlight);
  const slowness = handledMs === 0 ? 1 : handledMs / fastestMs;
  const free = Math.max(0, 1 - inFlight / handles);
  const isNear = server.dataCentre === choice.dataCentre;
  const nearness = isNear ? 1 + NEAR_PREFERENCE * free : 1;
  return (lacking * nearness * computeHealth(choice, candidate)) / slowness ** ANSWER_TIME_POWER;
}

/** Finds the candidate with the fewest requests for what it handles. */
function findFreest(candidates: readonly Candidate[]): UpstreamRecord | undefined {
  let freest: Candidate | undefined;
  for (const candidate of candidates) {
    const isFreer =
      freest === undefined ||
      candidate.inFlight / candidate.handles < freest.inFlight / freest.handles;
    if (isFreer) freest = candidate;
  }
  return freest?.server;
}

/** Chooses a server; undefined if all are leaving or excluded. */
export function chooseSharedServer(choice: SharedChoice): UpstreamRecord | undefined {
  const candidates = listCandidates(choice);
  const scale = { fill: computeFill(candidates), fastestMs: findFastestMs(candidates) };
  const weights = candidates.map((candidate) => computeWeight(choice, candidate, scale));
  const sum = weights.reduce((total, weight) => total + weight, 0);
  let left = choice.takeFraction() * sum;
  for (const [index, { server }] of candidates.entries()) {
    left -= weights[index] ?? 0;
    if (left < 0) return server;
  }
  return findFreest(candidates);
}
