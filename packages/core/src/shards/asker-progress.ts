/** Collects what an entry VM tells allocators of its running attempts. */

import type { AttemptProgress } from '@tarragonspool/protocol';
import type { AskerAction } from './asker-messages.js';
import type { HeldPlaces } from './asker-state.js';

/** An attempt that has not moved for this long is reported although it did not move. */
const STALL_REPORT_MS = 200;

function hasNews(held: HeldPlaces, now: number): boolean {
  const { position, sentPosition } = held;
  return position !== sentPosition || now - position.movedAt >= STALL_REPORT_MS;
}

/** Collects the attempts that moved or stand still, one action for each shard and granter. */
export function takeProgress(attempts: Iterable<HeldPlaces>, now: number): AskerAction[] {
  const groups = new Map<string, AttemptProgress[]>();
  const actions: AskerAction[] = [];
  for (const held of attempts) {
    if (!hasNews(held, now) || held.position.movedAt > now) continue;
    held.sentPosition = held.position;
    const { owner: to, shardId, grant } = held;
    const key = `${shardId}|${to.kind === 'vm' ? to.vmId : ''}`;
    let items = groups.get(key);
    if (items === undefined) {
      items = [];
      groups.set(key, items);
      actions.push({ kind: 'send-progress', to, shardId, items });
    }
    items.push({ ...held.position, reservationId: grant.reservationId });
  }
  return actions;
}
