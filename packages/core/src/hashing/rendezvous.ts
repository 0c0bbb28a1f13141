/** Rendezvous hashing: every VM that knows the same VMs names the same owner of a name. */

import type { VmId } from '@tarragonspool/protocol';
import { hasher } from './hasher.js';

/** Finds the owner of a name: the VM with the greatest hash. */
export function findOwner(vmIds: Iterable<VmId>, name: string): VmId | undefined {
  let best: VmId | undefined;
  let bestHash = -1;
  for (const vmId of vmIds) {
    const hash = hasher.h32(`${name}/${vmId}`);
    if (hash < bestHash || (hash === bestHash && best !== undefined && best < vmId)) continue;
    best = vmId;
    bestHash = hash;
  }
  return best;
}
