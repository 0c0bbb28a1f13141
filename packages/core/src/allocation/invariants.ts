/** Checks the invariants of an allocator's decisions and state. */

import type { AllocatorAction, AllocatorInvariant } from './allocator-events.js';
import { countTakenSlots, type Reservation } from './engine-state.js';
import type { ShardState } from './shard-state.js';
import { getFirstTokenDeadline, MAX_WAITING_REQUESTS } from './waiting-queue.js';

function reportViolation(invariant: AllocatorInvariant, detail: string): AllocatorAction {
  return { kind: 'report-violation', invariant, detail };
}

/** Checks a new reservation; returns a report for each violated invariant. */
export function checkGrant(
  state: ShardState,
  reservation: Reservation,
  now: number,
): AllocatorAction[] {
  const { ask: reservationRequest, grant, prefillEngine, decodeEngine } = reservation;
  const actions: AllocatorAction[] = [];
  if (
    now > Math.min(getFirstTokenDeadline(reservationRequest), reservationRequest.answerDeadline)
  ) {
    actions.push(reportViolation('grant-before-deadline', grant.attemptId));
  }
  for (const engine of [prefillEngine, decodeEngine]) {
    if (engine?.isLeaving !== true) continue;
    actions.push(reportViolation('no-grant-to-leaving', engine.upstreamId));
  }
  if (decodeEngine === undefined) return actions;
  const limit = decodeEngine.slots + state.objective.maxBorrowedSlots;
  const taken = countTakenSlots(decodeEngine, now);
  if (taken <= limit) return actions;
  const detail = `${decodeEngine.upstreamId}: ${taken} of ${limit} slots taken`;
  return [...actions, reportViolation('places-within-known', detail)];
}

/** Checks that the state is consistent; returns a report for each violated invariant. */
export function checkState(state: ShardState): AllocatorAction[] {
  const actions: AllocatorAction[] = [];
  if (state.queue.items.length > MAX_WAITING_REQUESTS) {
    actions.push(reportViolation('queue-within-bounds', String(state.queue.items.length)));
  }
  for (const engine of state.pool.byId.values()) {
    for (const reservation of [...engine.streams.values(), ...engine.prefills]) {
      const isLive = state.reservations.get(reservation.grant.reservationId) === reservation;
      if (!reservation.isEnded && isLive) continue;
      actions.push(reportViolation('ended-not-live', reservation.grant.attemptId));
    }
  }
  return actions;
}
