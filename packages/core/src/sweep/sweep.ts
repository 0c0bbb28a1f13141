/** Finds engine memory that is held for requests of daemons that are gone. */

import type { EngineHold, Incarnation, VmId } from '@tarragonspool/protocol';

/** What is known of the daemons that may own holds. */
export type SweepView = {
  /** Newest incarnation heard of each VM. */
  readonly incarnations: ReadonlyMap<VmId, Incarnation>;
  /** Newest incarnation of each VM that has ended for sure. */
  readonly ended: ReadonlyMap<VmId, Incarnation>;
};

/** Whether nobody can still use a hold. A silent VM may only be paused, so silence is no proof. */
function isOrphan(hold: EngineHold, view: SweepView, now: number): boolean {
  const { vmId, incarnation, deadline } = hold.owner;
  if (now >= deadline) return true;
  if ((view.ended.get(vmId) ?? -1) >= incarnation) return true;
  return (view.incarnations.get(vmId) ?? 0) > incarnation;
}

/** Lists the holds to cancel. */
export function findOrphans(
  holds: readonly EngineHold[],
  view: SweepView,
  now: number,
): EngineHold[] {
  return holds.filter((hold) => isOrphan(hold, view, now));
}
