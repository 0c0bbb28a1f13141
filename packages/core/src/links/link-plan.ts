/**
 * Plans the links between entry VMs and who reads the store. All VMs rank the listed VMs alike. The
 * first of the ranking that are not known to be down are the hubs: every VM keeps links to them, they
 * alone own pools, and the first hubs read the store for all.
 */

import type { VmId } from '@tarragonspool/protocol';
import { hasher } from '../hashing/hasher.js';

/** An entry VM with its processor capacity, in cores. */
export type RankedVm = { readonly vmId: VmId; readonly capacity: number };

/** Where a VM gets the rows of the store from. */
export type FeedSource = 'store' | 'peers';

/** VMs that every other VM keeps a link to. */
export const HUB_COUNT = 4;
/** Hubs that read the store themselves; the others take over when these fail. */
export const READER_COUNT = 2;
/** Pause of a reader between two calls, as a share of the time within which a change must take effect. */
export const READER_PAUSE_SHARE = 0.35;
/** The same where rows change rarely, so that there is nothing to collect. */
export const RARE_CHANGE_PAUSE_SHARE = 0.05;
/** Longest time for which the store holds a reader's call, as such a share. */
export const READER_HOLD_SHARE = 0.25;
/**
 * Time for an answer after that, as such a share. One lost answer, the call that follows it and the way
 * to all other VMs fit into the time within which a change must take effect.
 */
export const READER_ANSWER_SHARE = 0.2;
/** Time, beyond the pause, for a change of the list to come and for its way to a peer. */
const AGE_SLACK_MS = 600;

/**
 * Computes the age, in milliseconds, up to which a peer's knowledge of the store is relied on. A reader
 * whose calls get no answer, without an error, is passed over once its last answer is older.
 */
export function computeMaxStoreAgeMs(changeWithinMs: number): number {
  return READER_PAUSE_SHARE * changeWithinMs + AGE_SLACK_MS;
}

/** Orders VMs by capacity, equal ones by the hash of their id with a name. */
export function rankVms(vms: Iterable<RankedVm>, name: string): VmId[] {
  const hashed = [...vms].map((vm) => ({ ...vm, hash: hasher.h32(`${name}/${vm.vmId}`) }));
  hashed.sort((a, b) => b.capacity - a.capacity || b.hash - a.hash || (a.vmId < b.vmId ? -1 : 1));
  return hashed.map(({ vmId }) => vmId);
}

/** Lists the hubs: the first VMs of a ranking that are not down. */
export function listHubs(ranking: readonly VmId[], isDown: (vmId: VmId) => boolean): VmId[] {
  const hubs: VmId[] = [];
  for (const vmId of ranking) {
    if (hubs.length >= HUB_COUNT) break;
    if (!isDown(vmId)) hubs.push(vmId);
  }
  return hubs;
}

/** What a VM knows when it chooses its feed source. */
export type FeedView = {
  readonly self: VmId;
  readonly hubs: readonly VmId[];
  /** Whether this VM reads the store now, and is answered. */
  readonly isSelfReading: boolean;
  /** Whether any peer reads the store and has a recent answer. */
  readonly hasReadingPeer: boolean;
  /** Whether a peer is alive and has a recent answer of the store. */
  readonly isReading: (vmId: VmId) => boolean;
  /** Least age of the knowledge of a live peer, in milliseconds; Infinity without one. */
  readonly peerStoreAgeMs: number;
  /** Age up to which that knowledge is relied on. */
  readonly maxStoreAgeMs: number;
};

/**
 * Chooses the feed source. A hub reads the store unless enough hubs before it do. Any VM begins to read
 * it while no peer has recent knowledge, and goes on until a peer reads: what peers know may come from
 * this VM.
 */
export function chooseFeedSource(view: FeedView): FeedSource {
  const { self, hubs, isReading } = view;
  if (view.peerStoreAgeMs > view.maxStoreAgeMs) return 'store';
  if (view.isSelfReading && !view.hasReadingPeer) return 'store';
  const ownIndex = hubs.indexOf(self);
  if (ownIndex < 0) return 'peers';
  const readers = hubs.slice(0, ownIndex).filter(isReading);
  return readers.length >= READER_COUNT ? 'peers' : 'store';
}
