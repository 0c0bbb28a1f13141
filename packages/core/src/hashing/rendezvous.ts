/** Rendezvous hashing: VMs that know the same set of VMs choose the same owner for a name. */

import type { VmId } from '@tarragonspool/protocol';
import { hasher } from './hasher.js';

/** Finds the owner of a name: the VM with the greatest hash; on a tie, the VM with the lower id. */
export function findOwner(vmIds: Iterable<VmId>, name: string): VmId | undefined {
  let owner: VmId | undefined;
  let maxHash = -1;
  for (const vmId of vmIds) {
    const hash = hasher.h32(`${name}/${vmId}`);
    if (hash < maxHash || (hash === maxHash && owner !== undefined && owner < vmId)) continue;
    owner = vmId;
    maxHash = hash;
  }
  return owner;
}
