/** Chooses the VM that assigns the slots of a service, from the VMs that are alive. */

import { rankVms, type RankedVm } from '@tarragonspool/core';
import type { ServiceName, VmId } from '@tarragonspool/protocol';

/** Tracks which linked peers are alive and chooses the owner of each service from them. */
export type OwnerSelector = {
  /** Sets the capacities of the listed VMs; owners are chosen among the largest that are alive. */
  readonly setMembers: (members: readonly RankedVm[]) => void;
  readonly addLink: (vmId: VmId, now: number) => void;
  readonly removeLink: (vmId: VmId) => void;
  readonly recordMessage: (vmId: VmId, now: number) => void;
  /**
   * Records whether a VM, this one included, is unfit to decide for others: it cannot reach the store and
   * has older data, reaches no server, or leaves. It owns no service while another VM is fit.
   */
  readonly recordUnfit: (vmId: VmId, isUnfit: boolean) => void;
  /** Skips a peer that did not reply in time, until a message from it arrives. */
  readonly recordTimeout: (vmId: VmId) => void;
  readonly isAlive: (vmId: VmId, now: number) => boolean;
  readonly chooseOwner: (service: ServiceName, now: number) => VmId;
  /**
   * Restarts the silence timeout of all peers. Called after a pause of this process, when messages
   * that peers sent meanwhile are not yet processed.
   */
  readonly resetTimeouts: (now: number) => void;
  readonly countAlive: (now: number) => number;
};

/** A peer is skipped after three heartbeats of silence. */
const SILENCE_TIMEOUT_MS = 650;

type Peer = { heardAt: number; isSilent: boolean; isUnfit: boolean };

/** Makes the owner selector of the VM `self`. */
export function makeOwnerSelector(self: VmId): OwnerSelector {
  const peers = new Map<VmId, Peer>();
  const capacities = new Map<VmId, number>();
  const rankings = new Map<ServiceName, readonly VmId[]>();
  let isSelfUnfit = false;

  /** Ranks all VMs that are known for a service. */
  function findRanking(service: ServiceName): readonly VmId[] {
    const known = rankings.get(service);
    if (known !== undefined) return known;
    const vmIds = new Set([self, ...peers.keys()]);
    const vms = [...vmIds].map((vmId) => ({ vmId, capacity: capacities.get(vmId) ?? 0 }));
    const ranking = rankVms(vms, service);
    rankings.set(service, ranking);
    return ranking;
  }

  function isAlive(vmId: VmId, now: number): boolean {
    if (vmId === self) return true;
    const peer = peers.get(vmId);
    return peer !== undefined && !peer.isSilent && now - peer.heardAt <= SILENCE_TIMEOUT_MS;
  }

  function listAlive(now: number): VmId[] {
    return [self, ...[...peers.keys()].filter((vmId) => isAlive(vmId, now))];
  }

  return {
    recordUnfit: (vmId, isUnfit) => {
      const peer = peers.get(vmId);
      if (vmId === self) isSelfUnfit = isUnfit;
      else if (peer !== undefined) peer.isUnfit = isUnfit;
    },
    setMembers: (members) => {
      capacities.clear();
      for (const { vmId, capacity } of members) capacities.set(vmId, capacity);
      rankings.clear();
    },
    addLink: (vmId, now) => {
      if (!peers.has(vmId)) rankings.clear();
      peers.set(vmId, { heardAt: now, isSilent: false, isUnfit: false });
    },
    removeLink: (vmId) => {
      if (peers.delete(vmId)) rankings.clear();
    },
    recordMessage: (vmId, now) => {
      const peer = peers.get(vmId);
      if (peer === undefined) return;
      peer.heardAt = now;
      peer.isSilent = false;
    },
    recordTimeout: (vmId) => {
      const peer = peers.get(vmId);
      if (peer !== undefined) peer.isSilent = true;
    },
    isAlive,
    chooseOwner: (service, now) => {
      const ranking = findRanking(service);
      for (const vmId of ranking) {
        const isUnfit = vmId === self ? isSelfUnfit : peers.get(vmId)?.isUnfit === true;
        if (!isUnfit && isAlive(vmId, now)) return vmId;
      }
      return ranking.find((vmId) => isAlive(vmId, now)) ?? self;
    },
    resetTimeouts: (now) => {
      for (const peer of peers.values()) peer.heardAt = now;
    },
    countAlive: (now) => listAlive(now).length,
  };
}
