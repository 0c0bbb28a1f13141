import type { AliveMessage, StorePosition, VmId } from '@tarragonspool/protocol';
import { expect } from 'chai';
import { makeFleetView, type FleetMember, type FleetView } from './fleet-view.js';

const MAX_STORE_AGE_MS = 1_300;
/** Time after which a VM counts as in touch again. */
const CONTACT_MS = 3_000;
/** The last one is no hub while the others live. */
const MEMBERS: readonly FleetMember[] = ['a', 'b', 'c', 'd', 'e'].map((name) => ({
  vmId: name as VmId,
  peerAddress: '10.0.0.1:1',
  capacity: name === 'e' ? 0.5 : 1,
}));

function makeView(self: string): FleetView {
  const view = makeFleetView(self as VmId, MAX_STORE_AGE_MS);
  view.setMembers(MEMBERS);
  return view;
}

function listOthers(self: string): VmId[] {
  return MEMBERS.map(({ vmId }) => vmId).filter((vmId) => vmId !== self);
}

// Guards against VMs that hear nothing of each other for longer than a disturbance excuses.
it('fleet: VMs whose links were all lost at once dial each other well within the contact time', () => {
  const dialled = new Set<string>();
  for (const { vmId } of MEMBERS) {
    const view = makeView(vmId);
    for (const other of listOthers(vmId)) view.recordLinkOpened(other, 0);
    for (const other of listOthers(vmId)) view.recordLinkLost(other, 0);
    for (const target of view.listTargets(CONTACT_MS / 6)) {
      dialled.add([vmId, target.vmId].sort().join());
    }
  }
  expect(dialled.size).to.equal((MEMBERS.length * (MEMBERS.length - 1)) / 2);
});

it('fleet: a VM that cannot be reached is dialled ever more rarely, and counts again once it is linked', () => {
  const view = makeView('a');
  const [lost] = listOthers('a');
  if (lost === undefined) throw new Error('no other VM');
  for (const other of listOthers('a')) view.recordLinkOpened(other, 0);
  view.recordLinkLost(lost, 0);
  let dials = 0;
  for (let now = 0; now < 20_000; now += 50) {
    for (const other of listOthers('a')) {
      if (other !== lost) view.recordLinkOpened(other, now);
    }
    if (!view.listTargets(now).some(({ vmId }) => vmId === lost)) continue;
    dials += 1;
    view.recordUnreachable(lost, now);
  }
  expect(dials).to.be.within(3, 9);
  view.recordLinkOpened(lost, 20_000);
  expect(view.listTargets(20_000).map(({ vmId }) => vmId)).to.include(lost);
});

const POSITION = 7 as StorePosition;

/** What a VM says that reads the store, with the ages of what it knows of two tables. */
function buildAlive(opAgeMs: number, serversAgeMs: number): AliveMessage {
  return {
    kind: 'alive',
    isStoreAway: false,
    isReading: true,
    isLeaving: false,
    isCutOff: false,
    lostServers: [],
    storeAgeMs: Math.min(opAgeMs, serversAgeMs),
    positions: [
      { table: 'op', position: POSITION, ageMs: opAgeMs },
      { table: 'servers', position: POSITION, ageMs: serversAgeMs },
      { table: 'members', position: POSITION },
    ],
  };
}

function hearAlive(view: FleetView, names: readonly string[], message: AliveMessage): void {
  for (const name of names) {
    view.recordLinkOpened(name as VmId, 0);
    view.recordAlive(name as VmId, message, 0);
  }
}

// Guards against one table that is known well vouching for another whose calls are not answered.
it('fleet: a VM reads the store itself where its peers know one table no more, whatever they know of others', () => {
  const view = makeView('e');
  hearAlive(view, ['a', 'b', 'c', 'd'], buildAlive(MAX_STORE_AGE_MS + 100, 50));
  expect(view.chooseSource(false, 0)).to.equal('store');
  hearAlive(view, ['c'], buildAlive(300, 50));
  expect(view.chooseSource(true, 0)).to.equal('peers');
});

it('fleet: a VM that is told no ages of tables goes by the age of the store', () => {
  const view = makeView('e');
  const { positions, ...rest } = buildAlive(100, 100);
  const untold = positions.map(({ table, position }) => ({ table, position }));
  hearAlive(view, ['a', 'b', 'c', 'd'], { ...rest, positions: untold });
  expect(view.chooseSource(false, 0)).to.equal('peers');
  expect(view.measureTableAgeMs('op', POSITION, 200)).to.equal(300);
});

it('fleet: what a peer knows of a table counts as known only where this VM has all of its rows', () => {
  const view = makeView('e');
  hearAlive(view, ['a'], buildAlive(100, 100));
  expect(view.measureTableAgeMs('op', (POSITION - 1) as StorePosition, 0)).to.equal(Infinity);
  expect(view.measureTableAgeMs('op', POSITION, 0)).to.equal(100);
});

// Guards against the side that dialled a link closing it while the other one has no other way to the servers.
it('fleet: VMs that are cut off need their link to one that reaches servers, and all VMs theirs to a hub', () => {
  const outer = makeView('e');
  hearAlive(outer, ['a', 'b'], buildAlive(100, 100));
  expect(outer.listDependents(0)).to.deep.equal([]);
  hearAlive(outer, ['b'], { ...buildAlive(100, 100), isCutOff: true });
  expect(outer.listDependents(0)).to.deep.equal(['b']);
  outer.setCutOff(true);
  expect(outer.listDependents(0)).to.deep.equal([]);
  const views = MEMBERS.map(({ vmId }) => makeView(vmId));
  const hubs = views.filter((view) => view.isHub(0));
  for (const hub of hubs) {
    hearAlive(hub, ['e'], buildAlive(100, 100));
    expect(hub.listDependents(0)).to.deep.equal(['e']);
  }
  expect(hubs).to.have.length.within(1, MEMBERS.length - 1);
});
