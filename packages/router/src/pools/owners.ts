/** Chooses the VM that hands out the places of a service, from who is alive now. */

import { findOwner } from '@tarragonspool/core';
import type { ServiceName, VmId } from '@tarragonspool/protocol';

/** What is known of the linked peers. */
export type Owners = {
  readonly addLink: (vmId: VmId, now: number) => void;
  readonly removeLink: (vmId: VmId) => void;
  readonly recordHeard: (vmId: VmId, now: number) => void;
  /** Notes whether the store answers a VM, this one included; who is turned away knows less. */
  readonly recordStore: (vmId: VmId, isAway: boolean) => void;
  /** Lists live peers that the store answers. */
  readonly listInformed: (now: number) => VmId[];
  /** A peer that did not answer in time is passed over until it is heard again. */
  readonly recordSilent: (vmId: VmId) => void;
  readonly isAlive: (vmId: VmId, now: number) => boolean;
  readonly chooseOwner: (service: ServiceName, now: number) => VmId;
  /** After a pause of this process: what peers sent meanwhile is still unread. */
  readonly resetSilence: (now: number) => void;
  readonly countAlive: (now: number) => number;
};

/** A peer is passed over after three heartbeats of silence. */
const SILENCE_MS = 650;

type Peer = { heardAt: number; isSilent: boolean; isStoreAway: boolean };

/** Makes the view of one VM. */
export function makeOwners(self: VmId): Owners {
  const peers = new Map<VmId, Peer>();
  let isStoreAway = false;

  function isAlive(vmId: VmId, now: number): boolean {
    if (vmId === self) return true;
    const peer = peers.get(vmId);
    return peer !== undefined && !peer.isSilent && now - peer.heardAt <= SILENCE_MS;
  }

  function listAlive(now: number): VmId[] {
    return [self, ...[...peers.keys()].filter((vmId) => isAlive(vmId, now))];
  }

  function listInformed(now: number): VmId[] {
    return [...peers]
      .filter(([vmId, peer]) => !peer.isStoreAway && isAlive(vmId, now))
      .map(([vmId]) => vmId);
  }

  return {
    listInformed,
    recordStore: (vmId, isAway) => {
      const peer = peers.get(vmId);
      if (vmId === self) isStoreAway = isAway;
      else if (peer !== undefined) peer.isStoreAway = isAway;
    },
    addLink: (vmId, now) => {
      peers.set(vmId, { heardAt: now, isSilent: false, isStoreAway: false });
    },
    removeLink: (vmId) => {
      peers.delete(vmId);
    },
    recordHeard: (vmId, now) => {
      const peer = peers.get(vmId);
      if (peer === undefined) return;
      peer.heardAt = now;
      peer.isSilent = false;
    },
    recordSilent: (vmId) => {
      const peer = peers.get(vmId);
      if (peer !== undefined) peer.isSilent = true;
    },
    isAlive,
    chooseOwner: (service, now) => {
      const informed = isStoreAway ? listInformed(now) : [self, ...listInformed(now)];
      return findOwner(informed.length > 0 ? informed : listAlive(now), service) ?? self;
    },
    resetSilence: (now) => {
      for (const peer of peers.values()) peer.heardAt = now;
    },
    countAlive: (now) => listAlive(now).length,
  };
}
