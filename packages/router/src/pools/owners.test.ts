import type { ServiceName, VmId } from '@tarragonspool/protocol';
import { expect } from 'chai';
import { makeOwnerSelector, type OwnerSelector } from './owners.js';

const SELF = 'vm-1' as VmId;
const PEERS = ['vm-2', 'vm-3', 'vm-4'] as VmId[];
const SERVICE = 'llm' as ServiceName;

function buildSelector(): OwnerSelector {
  const selector = makeOwnerSelector(SELF);
  for (const peer of PEERS) selector.addLink(peer, 0);
  return selector;
}

function recordOthers(selector: OwnerSelector, silent: VmId, now: number): void {
  for (const peer of PEERS) {
    if (peer !== silent) selector.recordMessage(peer, now);
  }
}

/** Finds a service that a peer owns, so that a test can make that owner fail. */
function findServiceOfPeer(selector: OwnerSelector): ServiceName {
  for (let index = 0; index < 50; index += 1) {
    const service = `service-${index}` as ServiceName;
    if (selector.chooseOwner(service, 0) !== SELF) return service;
  }
  throw new Error('no service is owned by a peer');
}

it('owners: VMs that see the same peers ask the same owner', () => {
  const otherSelector = makeOwnerSelector('vm-2' as VmId);
  for (const vmId of ['vm-1', 'vm-3', 'vm-4'] as VmId[]) otherSelector.addLink(vmId, 0);
  expect(otherSelector.chooseOwner(SERVICE, 0)).to.equal(buildSelector().chooseOwner(SERVICE, 0));
});

it('owners: a peer takes over in place of a silent VM within the latency target of a stream', () => {
  const selector = buildSelector();
  const service = findServiceOfPeer(selector);
  const lost = selector.chooseOwner(service, 0);
  recordOthers(selector, lost, 700);
  expect(selector.chooseOwner(service, 700)).not.to.equal(lost);
  selector.recordMessage(lost, 710);
  expect(selector.chooseOwner(service, 710)).to.equal(lost);
});

it('owners: a VM that reaches the store is the owner in place of one that cannot', () => {
  const selector = buildSelector();
  const service = findServiceOfPeer(selector);
  const cutOff = selector.chooseOwner(service, 0);
  selector.recordUnfit(cutOff, true);
  expect(selector.chooseOwner(service, 0)).not.to.equal(cutOff);
  for (const vmId of [SELF, ...PEERS]) selector.recordUnfit(vmId, true);
  expect(selector.chooseOwner(service, 0)).to.equal(cutOff);
});

it('owners: after a pause of this process its peers do not count as lost', () => {
  const selector = buildSelector();
  const before = selector.chooseOwner(SERVICE, 0);
  selector.resetTimeouts(9_000);
  expect(selector.countAlive(9_000)).to.equal(4);
  expect(selector.chooseOwner(SERVICE, 9_000)).to.equal(before);
});

it('owners: a VM that runs alone is the owner', () => {
  expect(makeOwnerSelector(SELF).chooseOwner(SERVICE, 0)).to.equal(SELF);
});
