/** Collects the progress of running attempts that an entry VM reports to allocators. */

import type { AttemptProgress } from '@tarragonspool/protocol';
import type { ReservationClientAction } from './reservation-client-messages.js';
import type { ActiveReservation } from './reservation-client-state.js';

/** An attempt without progress for this long is reported even though nothing changed. */
const STALL_REPORT_MS = 200;

function isReportDue(reservation: ActiveReservation, now: number): boolean {
  const { position, reportedPosition } = reservation;
  return position !== reportedPosition || now - position.movedAt >= STALL_REPORT_MS;
}

/** Returns one action per shard and allocator with its attempts that made progress or have stalled. */
export function collectProgress(
  reservations: Iterable<ActiveReservation>,
  now: number,
): ReservationClientAction[] {
  const groups = new Map<string, AttemptProgress[]>();
  const actions: ReservationClientAction[] = [];
  for (const reservation of reservations) {
    if (!isReportDue(reservation, now) || reservation.position.movedAt > now) continue;
    reservation.reportedPosition = reservation.position;
    const { owner: to, shardId, grant } = reservation;
    const key = `${shardId}|${to.kind === 'vm' ? to.vmId : ''}`;
    let items = groups.get(key);
    if (items === undefined) {
      items = [];
      groups.set(key, items);
      actions.push({ kind: 'send-progress', to, shardId, items });
    }
    items.push({ ...reservation.position, reservationId: grant.reservationId });
  }
  return actions;
}
