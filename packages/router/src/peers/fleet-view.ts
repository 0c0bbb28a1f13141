/**
 * What one VM knows of the others: who is listed, linked and heard, and how recent each one's
 * knowledge of the store is. Answers whom to link and where to get the store's rows from.
 */

import {
  chooseFeedSource,
  listHubs,
  rankVms,
  type FeedSource,
  type RankedVm,
} from '@tarragonspool/core';
import type {
  AliveMessage,
  ServiceName,
  StorePosition,
  UpstreamId,
  VmId,
} from '@tarragonspool/protocol';

/** A listed VM and where it listens to its peers. */
export type FleetMember = RankedVm & { readonly peerAddress: string };

/** The view of one VM. */
export type FleetView = {
  readonly setMembers: (members: readonly FleetMember[]) => void;
  /** Sets the services whose pools need owners; each has a ranking of its own. */
  readonly setServices: (services: readonly ServiceName[]) => void;
  readonly recordLinkOpened: (vmId: VmId, now: number) => void;
  /** Records that a link was lost; it is dialled again soon. */
  readonly recordLinkLost: (vmId: VmId, now: number) => void;
  /** Records that a link could not be opened; it is dialled again ever more rarely. */
  readonly recordUnreachable: (vmId: VmId, now: number) => void;
  readonly recordAlive: (vmId: VmId, message: AliveMessage, now: number) => void;
  /** Lists the VMs to keep links to. */
  readonly listTargets: (now: number) => FleetMember[];
  /**
   * Lists the linked VMs that need their link to this one: all if it is a hub; else, if it reaches
   * servers, those that do not.
   */
  readonly listDependents: (now: number) => VmId[];
  readonly isHub: (now: number) => boolean;
  readonly chooseSource: (isSelfReading: boolean, now: number) => FeedSource;
  /** Least age of the store's state as live peers know it; Infinity without any. */
  readonly measureStoreAgeMs: (now: number) => number;
  /** Least age of a table as live peers know it that know no more of it than a position. */
  readonly measureTableAgeMs: (table: string, position: StorePosition, now: number) => number;
  /** Whether knowledge of the store of this age, in milliseconds, may be relied on. */
  readonly isRecent: (storeAgeMs: number) => boolean;
  readonly countMembers: () => number;
  /** Lists the live VMs that come first in the ranking of a service; all VMs are linked to them. */
  readonly listHubsOf: (service: ServiceName, now: number) => VmId[];
  /** Records whether this VM reaches no server itself, and so needs peers that do. */
  readonly setCutOff: (isCutOffNow: boolean) => void;
  /** Lists the linked VMs that are alive, stay, and do not say that they fail to reach a server. */
  readonly listRelays: (upstreamId: UpstreamId, now: number) => VmId[];
  /** Returns the name of the ranking whose first VM decides about a service. */
  readonly findRankingName: (service: ServiceName) => ServiceName;
};

/** A peer that says nothing for this long is passed over: three messages are missing. */
const SILENCE_TIMEOUT_MS = 650;
/** A VM whose link was lost is down until it is linked, and dialled after this time: links may go silent. */
const FIRST_RETRY_MS = 250;
/** Twice the time before after each dial that failed, up to this. */
const MAX_RETRY_MS = 4_000;
/** A VM that is cut off dials all others at least this often: they may send for it. */
const RELAY_RETRY_MS = 500;
/** VMs that reach servers which a VM that is cut off keeps links to. */
const RELAY_LINKS = 3;
/** A position that no table has passed. */
const ANY_POSITION = Number.MAX_SAFE_INTEGER as StorePosition;
/** Name of the ranking where no service needs an owner. */
const DEFAULT_RANKING = 'hubs';

/** When to dial a VM again, and how long that is after it was lost. */
type Retry = { readonly at: number; readonly waitMs: number };
type PeerState = { heardAt: number; message: AliveMessage | undefined };

/**
 * Makes the view of the VM `self`, which knows only itself. Knowledge of the store older than
 * `maxStoreAgeMs` is not relied on.
 */
export function makeFleetView(self: VmId, maxStoreAgeMs: number): FleetView {
  let members = new Map<VmId, FleetMember>();
  let rankingNames: readonly string[] = [DEFAULT_RANKING];
  let rankings: readonly (readonly VmId[])[] = [[]];
  const peers = new Map<VmId, PeerState>();
  /** VMs that are down because there is no link to them. */
  const retries = new Map<VmId, Retry>();
  let isSelfCutOff = false;

  function isHeard(vmId: VmId, now: number): boolean {
    const peer = peers.get(vmId);
    return peer !== undefined && now - peer.heardAt <= SILENCE_TIMEOUT_MS;
  }

  function isDown(vmId: VmId, now: number): boolean {
    if (vmId === self) return false;
    if (retries.has(vmId)) return true;
    const peer = peers.get(vmId);
    return peer !== undefined && (!isHeard(vmId, now) || peer.message?.isLeaving === true);
  }

  function updateRankings(): void {
    const listed = [...members.values()];
    rankings = rankingNames.map((name) => rankVms(listed, name));
  }

  function findHubs(ranking: readonly VmId[], now: number): VmId[] {
    return listHubs(ranking, (vmId) => isDown(vmId, now));
  }

  function findAllHubs(now: number): Set<VmId> {
    return new Set(rankings.flatMap((ranking) => findHubs(ranking, now)));
  }

  /** Lists the VMs ranked before a hub that are down and to be dialled again. */
  function listRetries(hubs: ReadonlySet<VmId>, now: number): VmId[] {
    const due: VmId[] = [];
    for (const ranking of rankings) {
      const lastHub = ranking.findLastIndex((vmId) => hubs.has(vmId));
      for (const vmId of ranking.slice(0, lastHub)) {
        const retry = retries.get(vmId);
        if (retry !== undefined && retry.at <= now) due.push(vmId);
      }
    }
    return due;
  }

  /** Returns the age of the store's state as a peer knows it; Infinity unless the peer is alive. */
  function measurePeerAgeMs(vmId: VmId, now: number): number {
    const peer = peers.get(vmId);
    if (peer?.message === undefined || !isHeard(vmId, now)) return Infinity;
    return (peer.message.storeAgeMs ?? Infinity) + now - peer.heardAt;
  }

  function measureStoreAgeMs(now: number): number {
    let least = Infinity;
    for (const vmId of peers.keys()) least = Math.min(least, measurePeerAgeMs(vmId, now));
    return least;
  }

  function listLiveMessages(now: number): { message: AliveMessage; heardAgoMs: number }[] {
    const live: { message: AliveMessage; heardAgoMs: number }[] = [];
    for (const [vmId, { message, heardAt }] of peers) {
      if (message !== undefined && isHeard(vmId, now)) {
        live.push({ message, heardAgoMs: now - heardAt });
      }
    }
    return live;
  }

  function measureTableAgeMs(table: string, position: StorePosition, now: number): number {
    let least = Infinity;
    for (const { message, heardAgoMs } of listLiveMessages(now)) {
      const known = message.positions.find((item) => item.table === table);
      if (known === undefined || known.position > position) continue;
      least = Math.min(least, (known.ageMs ?? message.storeAgeMs ?? Infinity) + heardAgoMs);
    }
    return least;
  }

  /** Lists the tables of which live peers tell the age. */
  function listAgedTables(now: number): Set<string> {
    const tables = new Set<string>();
    for (const { message } of listLiveMessages(now)) {
      for (const { table, ageMs } of message.positions) {
        if (ageMs !== undefined) tables.add(table);
      }
    }
    return tables;
  }

  /** Measures the greatest age of any table, each as the live peer knows it that knows it best. */
  function measureOldestTableMs(now: number): number {
    let oldest = measureStoreAgeMs(now);
    for (const table of listAgedTables(now)) {
      oldest = Math.max(oldest, measureTableAgeMs(table, ANY_POSITION, now));
    }
    return oldest;
  }

  function isReading(vmId: VmId, now: number): boolean {
    const peer = peers.get(vmId);
    if (peer?.message?.isReading !== true) return false;
    const ages = peer.message.positions.map(({ ageMs = 0 }) => ageMs + now - peer.heardAt);
    return Math.max(measurePeerAgeMs(vmId, now), ...ages) <= maxStoreAgeMs;
  }

  function isRelay(vmId: VmId, now: number): boolean {
    const message = peers.get(vmId)?.message;
    return message !== undefined && !message.isCutOff && !isDown(vmId, now);
  }

  /** Whether a VM that is cut off dials one now that is not linked. */
  function isRelayDialled(vmId: VmId, now: number): boolean {
    const retry = retries.get(vmId);
    if (retry === undefined) return true;
    const waitMs = Math.min(retry.waitMs, RELAY_RETRY_MS);
    return retry.at - retry.waitMs + waitMs <= now;
  }

  /** Lists the VMs to link because too few of the linked ones reach servers; empty unless cut off. */
  function listRelayTargets(now: number): VmId[] {
    if (!isSelfCutOff) return [];
    const relays = [...peers.keys()].filter((vmId) => isRelay(vmId, now));
    const missing = Math.max(0, RELAY_LINKS - relays.length);
    const unknown = rankVms(members.values(), self).filter(
      (vmId) => vmId !== self && !peers.has(vmId) && isRelayDialled(vmId, now),
    );
    return [...relays, ...unknown.slice(0, missing)];
  }

  return {
    setMembers: (listed) => {
      members = new Map(listed.map((member) => [member.vmId, member]));
      updateRankings();
    },
    setServices: (services) => {
      const names = services.length === 0 ? [DEFAULT_RANKING] : [...services].sort();
      if (names.join() === rankingNames.join()) return;
      rankingNames = names;
      updateRankings();
    },
    recordLinkOpened: (vmId, now) => {
      retries.delete(vmId);
      peers.set(vmId, { heardAt: now, message: undefined });
    },
    recordLinkLost: (vmId, now) => {
      peers.delete(vmId);
      retries.set(vmId, { at: now + FIRST_RETRY_MS, waitMs: FIRST_RETRY_MS });
    },
    recordUnreachable: (vmId, now) => {
      peers.delete(vmId);
      const lastWaitMs = retries.get(vmId)?.waitMs ?? MAX_RETRY_MS;
      const waitMs = Math.min(MAX_RETRY_MS, 2 * lastWaitMs);
      retries.set(vmId, { at: now + waitMs, waitMs });
    },
    recordAlive: (vmId, message, now) => {
      peers.set(vmId, { heardAt: now, message });
    },
    listTargets: (now) => {
      const targets: FleetMember[] = [];
      const hubs = findAllHubs(now);
      for (const vmId of new Set([...hubs, ...listRetries(hubs, now), ...listRelayTargets(now)])) {
        const member = members.get(vmId);
        if (member !== undefined && vmId !== self) targets.push(member);
      }
      return targets;
    },
    listDependents: (now) => {
      const linked = [...peers.keys()];
      if (findAllHubs(now).has(self)) return linked;
      if (isSelfCutOff) return [];
      return linked.filter((vmId) => peers.get(vmId)?.message?.isCutOff === true);
    },
    setCutOff: (isCutOffNow) => {
      isSelfCutOff = isCutOffNow;
    },
    listRelays: (upstreamId, now) => {
      const relays: VmId[] = [];
      for (const [vmId, { message }] of peers) {
        const hasLost = message?.lostServers.includes(upstreamId) ?? true;
        if (!hasLost && isRelay(vmId, now)) relays.push(vmId);
      }
      return relays;
    },
    isHub: (now) => findAllHubs(now).has(self),
    chooseSource: (isSelfReading, now) =>
      chooseFeedSource({
        self,
        isSelfReading,
        hasReadingPeer: [...peers.keys()].some((vmId) => isReading(vmId, now)),
        // The hubs of the first service read for all.
        hubs: findHubs(rankings[0] ?? [], now),
        isReading: (vmId) => isReading(vmId, now),
        peerStoreAgeMs: measureOldestTableMs(now),
        maxStoreAgeMs,
      }),
    measureStoreAgeMs,
    measureTableAgeMs,
    isRecent: (storeAgeMs) => storeAgeMs <= maxStoreAgeMs,
    countMembers: () => members.size,
    listHubsOf: (service, now) => {
      const index = rankingNames.indexOf(service);
      return findHubs(rankings[Math.max(0, index)] ?? [], now);
    },
    findRankingName: (service) => {
      const name = rankingNames.includes(service) ? service : rankingNames[0];
      return (name ?? DEFAULT_RANKING) as ServiceName;
    },
  };
}
