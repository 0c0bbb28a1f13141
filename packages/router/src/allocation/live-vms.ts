/** Which entry VMs may own shards, and which are surely gone. */

import type { Incarnation, VmId } from '@tarragonspool/protocol';
import type { PeerTable } from '../membership/peer-table.js';
import type { EntryVmRecord } from '../upstreams/directory.js';

/** Lists the VMs that may own shards, in name order: this one and every peer heard, none leaving. */
export function listLiveVms(peers: PeerTable, self: VmId, isLeaving: boolean): VmId[] {
  const live: VmId[] = isLeaving ? [] : [self];
  for (const peer of peers.values()) {
    if (!peer.isLeaving) live.push(peer.vmId);
  }
  return live.sort();
}

/** Lists the VMs that once had a link and are neither linked nor listed by the platform now. */
export function listReplacedVms(
  heard: ReadonlyMap<VmId, Incarnation>,
  listed: readonly EntryVmRecord[],
  linked: ReadonlyMap<VmId, unknown>,
  self: { readonly vmId: VmId },
): ReadonlySet<VmId> {
  const replaced = new Set<VmId>();
  // An empty list says that the platform has not answered yet.
  if (listed.length === 0) return replaced;
  for (const vmId of heard.keys()) {
    if (vmId !== self.vmId && !linked.has(vmId)) replaced.add(vmId);
  }
  for (const { vmId } of listed) replaced.delete(vmId);
  return replaced;
}
