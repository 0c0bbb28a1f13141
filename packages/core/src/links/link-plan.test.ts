import type { VmId } from '@tarragonspool/protocol';
import { expect } from 'chai';
import {
  chooseFeedSource,
  computeMaxStoreAgeMs,
  HUB_COUNT,
  listHubs,
  rankVms,
  type RankedVm,
} from './index.js';

function buildVms(count: number, capacity = 1): RankedVm[] {
  return Array.from({ length: count }, (_unused, index) => ({
    vmId: `vm-${index}` as VmId,
    capacity,
  }));
}

const NONE_DOWN = (): boolean => false;

it('links: all VMs rank each other alike, in whatever order they know them', () => {
  const vms = buildVms(40);
  expect(rankVms([...vms].reverse(), 'llm')).to.deep.equal(rankVms(vms, 'llm'));
});

it('links: a small VM is no hub while a larger one lives', () => {
  const small = buildVms(180, 0.3);
  const large = buildVms(15, 1.3).map((vm) => ({ ...vm, vmId: `large-${vm.vmId}` as VmId }));
  const ranking = rankVms([...small, ...large], 'llm');
  for (const hub of listHubs(ranking, NONE_DOWN)) expect(hub).to.match(/^large/u);
  const isLarge = (vmId: VmId): boolean => vmId.startsWith('large');
  expect(listHubs(ranking, isLarge)).to.have.length(HUB_COUNT);
});

it('links: the number of links of a VM does not grow with the number of VMs', () => {
  for (const count of [9, 61, 195, 383]) {
    expect(listHubs(rankVms(buildVms(count), 'llm'), NONE_DOWN)).to.have.length(HUB_COUNT);
  }
});

it('links: a hub that is down is replaced by the next of the ranking, the others stay', () => {
  const ranking = rankVms(buildVms(9), 'llm');
  const [first, ...rest] = listHubs(ranking, NONE_DOWN);
  const after = listHubs(ranking, (vmId) => vmId === first);
  expect(after.slice(0, rest.length)).to.deep.equal(rest);
  expect(after).to.have.length(HUB_COUNT);
});

const maxStoreAgeMs = computeMaxStoreAgeMs(2_000);
const HUBS = ['a', 'b', 'c', 'd'] as VmId[];

const VIEW = {
  hubs: HUBS,
  isSelfReading: false,
  hasReadingPeer: true,
  peerStoreAgeMs: 100,
  maxStoreAgeMs,
};

it('links: two hubs read the store, the others and all other VMs get rows from peers', () => {
  const isReading = (vmId: VmId): boolean => vmId === 'a' || vmId === 'b';
  const choose = (self: string) =>
    chooseFeedSource({
      ...VIEW,
      self: self as VmId,
      isReading,
    });
  expect(['a', 'b', 'c', 'd', 'e'].map(choose)).to.deep.equal([
    'store',
    'store',
    'peers',
    'peers',
    'peers',
  ]);
});

it('links: the next hub reads the store when one that did is cut off from it', () => {
  const isReading = (vmId: VmId): boolean => vmId === 'b';
  const view = { ...VIEW, isReading };
  expect(chooseFeedSource({ ...view, self: 'c' as VmId })).to.equal('store');
  expect(chooseFeedSource({ ...view, self: 'e' as VmId })).to.equal('peers');
});

it('links: a VM whose peers know nothing recent of the store reads it itself', () => {
  const view = { ...VIEW, isReading: NONE_DOWN, hasReadingPeer: false, peerStoreAgeMs: 1_600 };
  expect(chooseFeedSource({ ...view, self: 'e' as VmId })).to.equal('store');
});

it('links: a VM that reads the store goes on while what its peers know may come from it', () => {
  const view = { ...VIEW, self: 'e' as VmId, isSelfReading: true, isReading: NONE_DOWN };
  expect(chooseFeedSource({ ...view, hasReadingPeer: false })).to.equal('store');
  expect(chooseFeedSource({ ...view, hasReadingPeer: true })).to.equal('peers');
});
