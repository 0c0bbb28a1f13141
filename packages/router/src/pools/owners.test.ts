import type { ServiceName, VmId } from '@tarragonspool/protocol';
import { expect } from 'chai';
import { makeOwners, type Owners } from './owners.js';

const SELF = 'vm-1' as VmId;
const PEERS = ['vm-2', 'vm-3', 'vm-4'] as VmId[];
const SERVICE = 'llm' as ServiceName;

function buildOwners(): Owners {
  const owners = makeOwners(SELF);
  for (const peer of PEERS) owners.addLink(peer, 0);
  return owners;
}

function hearOthers(owners: Owners, silent: VmId, now: number): void {
  for (const peer of PEERS) {
    if (peer !== silent) owners.recordHeard(peer, now);
  }
}

/** Finds a service whose owner is a peer, so that the peer can be lost. */
function findServiceOfPeer(owners: Owners): ServiceName {
  for (let index = 0; index < 50; index += 1) {
    const service = `service-${index}` as ServiceName;
    if (owners.chooseOwner(service, 0) !== SELF) return service;
  }
  throw new Error('every service is owned here');
}

it('owners: every VM that sees the same VMs names the same owner', () => {
  const other = makeOwners('vm-2' as VmId);
  for (const vmId of ['vm-1', 'vm-3', 'vm-4'] as VmId[]) other.addLink(vmId, 0);
  expect(other.chooseOwner(SERVICE, 0)).to.equal(buildOwners().chooseOwner(SERVICE, 0));
});

it('owners: a VM that falls silent is passed over within the target of a stream', () => {
  const owners = buildOwners();
  const service = findServiceOfPeer(owners);
  const lost = owners.chooseOwner(service, 0);
  hearOthers(owners, lost, 700);
  expect(owners.chooseOwner(service, 700)).not.to.equal(lost);
  owners.recordHeard(lost, 710);
  expect(owners.chooseOwner(service, 710)).to.equal(lost);
});

it('owners: a VM that the store turns away does not decide while others are informed', () => {
  const owners = buildOwners();
  const service = findServiceOfPeer(owners);
  const uninformed = owners.chooseOwner(service, 0);
  owners.recordStore(uninformed, true);
  expect(owners.chooseOwner(service, 0)).not.to.equal(uninformed);
  for (const vmId of [SELF, ...PEERS]) owners.recordStore(vmId, true);
  expect(owners.chooseOwner(service, 0)).to.equal(uninformed);
});

it('owners: after a pause of this process its peers are not taken for lost', () => {
  const owners = buildOwners();
  const before = owners.chooseOwner(SERVICE, 0);
  owners.resetSilence(9_000);
  expect(owners.countAlive(9_000)).to.equal(4);
  expect(owners.chooseOwner(SERVICE, 9_000)).to.equal(before);
});

it('owners: a VM alone decides itself', () => {
  expect(makeOwners(SELF).chooseOwner(SERVICE, 0)).to.equal(SELF);
});
