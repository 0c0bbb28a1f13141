/** Finds engine memory that is still held for requests whose daemon has ended. */

import type { EngineHold, Incarnation, VmId } from '@tarragonspool/protocol';

/** Known incarnations of the daemons that may own holds. */
export type SweepView = {
  /** Newest incarnation of each VM that a message was received from. */
  readonly incarnations: ReadonlyMap<VmId, Incarnation>;
  /** Newest incarnation of each VM that is known to have ended. */
  readonly ended: ReadonlyMap<VmId, Incarnation>;
};

/**
 * Whether no daemon can still use a hold: it is past its deadline, or the incarnation that owns it
 * has ended or was replaced. A silent VM may only be paused, so silence alone is no proof.
 */
function isOrphan(hold: EngineHold, view: SweepView, now: number): boolean {
  const { vmId, incarnation, deadline } = hold.owner;
  if (now >= deadline) return true;
  if ((view.ended.get(vmId) ?? -1) >= incarnation) return true;
  return (view.incarnations.get(vmId) ?? 0) > incarnation;
}

/** Finds the holds to cancel, which no daemon can still use. `now` is in epoch milliseconds. */
export function findOrphanedHolds(
  holds: readonly EngineHold[],
  view: SweepView,
  now: number,
): EngineHold[] {
  return holds.filter((hold) => isOrphan(hold, view, now));
}
