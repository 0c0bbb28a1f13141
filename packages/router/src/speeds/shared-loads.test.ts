import type { LoadMessage, ServiceName, UpstreamId, VmId } from '@tarragonspool/protocol';
import { expect } from 'chai';
import { pino } from 'pino';
import { makeSharedLoads, type SharedLoads } from './shared-loads.js';

const SERVICE = 'ledger' as ServiceName;
const SERVER = 'a' as UpstreamId;
const NAMES = ['vm-1', 'vm-2', 'vm-3'] as VmId[];
const [FIRST, SECOND, THIRD] = NAMES as [VmId, VmId, VmId];
const TICK_MS = 100;

type Fleet = {
  readonly vms: ReadonlyMap<VmId, SharedLoads>;
  /** The VM that each VM reports to. */
  readonly leaders: Map<VmId, VmId | undefined>;
  /** VMs whose messages are lost. */
  readonly lost: Set<VmId>;
  readonly sent: { readonly from: VmId; readonly kind: LoadMessage['kind'] }[];
  /** Lets time pass; `act` is called before each tick. */
  readonly run: (forMs: number, act?: () => void) => void;
  readonly getNow: () => number;
};

function makeFleet(isShared = true): Fleet {
  let now = 0;
  const vms = new Map<VmId, SharedLoads>();
  const leaders = new Map<VmId, VmId | undefined>(NAMES.map((name) => [name, FIRST]));
  const lost = new Set<VmId>();
  const sent: { from: VmId; kind: LoadMessage['kind'] }[] = [];
  const deliver = (from: VmId, to: VmId, message: LoadMessage): void => {
    sent.push({ from, kind: message.kind });
    if (!lost.has(from) && !lost.has(to)) vms.get(to)?.handleMessage(from, message, now);
  };
  for (const self of NAMES) {
    const parts = {
      self,
      sendTo: (to: VmId, message: LoadMessage) => deliver(self, to, message),
      broadcast: (message: LoadMessage) => {
        for (const to of NAMES) if (to !== self) deliver(self, to, message);
      },
      isShared: () => isShared,
      findRanking: () => 'hubs' as ServiceName,
      findLeader: () => leaders.get(self),
      listServers: () => [{ upstreamId: SERVER, slots: 2 }],
      metrics: { loadSummaries: { set: () => undefined } },
      logger: pino({ level: 'silent' }),
    };
    vms.set(self, makeSharedLoads(parts, now));
  }
  const run = (forMs: number, act?: () => void): void => {
    for (const until = now + forMs; now < until;) {
      now += TICK_MS;
      act?.();
      for (const vm of vms.values()) vm.tick(now);
    }
  };
  return { vms, leaders, lost, sent, run, getNow: () => now };
}

function findInFlight({ vms, getNow }: Fleet, vmId: VmId): number | undefined {
  return vms.get(vmId)?.findSummary(SERVICE, getNow())?.servers[0]?.inFlight;
}

it('shared loads: every VM knows what all have in flight, and what it has sent since', () => {
  const fleet = makeFleet();
  for (const vm of fleet.vms.values()) vm.beginSend(SERVICE, SERVER, 0);
  fleet.run(500);
  for (const name of NAMES) expect(findInFlight(fleet, name)).to.equal(NAMES.length);
  const vm = fleet.vms.get(SECOND);
  expect(vm?.countSentSince(SERVICE, SERVER)).to.equal(0);
  vm?.beginSend(SERVICE, SERVER, fleet.getNow());
  expect(vm?.countSentSince(SERVICE, SERVER)).to.equal(1);
});

it('shared loads: a VM that hears no summary any more goes on without one', () => {
  const fleet = makeFleet();
  for (const vm of fleet.vms.values()) vm.beginSend(SERVICE, SERVER, 0);
  fleet.run(500);
  fleet.lost.add(SECOND);
  fleet.run(500);
  expect(findInFlight(fleet, SECOND)).to.equal(NAMES.length);
  fleet.run(300);
  expect(findInFlight(fleet, SECOND)).to.equal(undefined);
  expect(findInFlight(fleet, THIRD)).to.be.a('number');
});

it('shared loads: what a VM had in flight when it was lost is forgotten after a second', () => {
  const fleet = makeFleet();
  for (const vm of fleet.vms.values()) vm.beginSend(SERVICE, SERVER, 0);
  fleet.run(500);
  fleet.lost.add(SECOND);
  fleet.run(1_300);
  expect(findInFlight(fleet, THIRD)).to.equal(NAMES.length - 1);
});

it('shared loads: while two VMs sum, each VM uses the sums that hold its own reports', () => {
  const fleet = makeFleet();
  for (const vm of fleet.vms.values()) vm.beginSend(SERVICE, SERVER, 0);
  fleet.run(500);
  fleet.leaders.set(SECOND, SECOND);
  fleet.run(1_500);
  expect(findInFlight(fleet, SECOND)).to.equal(1);
  expect(findInFlight(fleet, THIRD)).to.equal(2);
  for (const name of NAMES) fleet.leaders.set(name, SECOND);
  fleet.run(1_500);
  for (const name of NAMES) expect(findInFlight(fleet, name)).to.equal(NAMES.length);
});

it('shared loads: a VM that stood still tells no sums until its counts are whole again', () => {
  const fleet = makeFleet();
  for (const vm of fleet.vms.values()) vm.beginSend(SERVICE, SERVER, 0);
  fleet.run(500);
  const told = fleet.sent.filter(({ kind }) => kind === 'load-summary').length;
  for (const vm of fleet.vms.values()) vm.tick(fleet.getNow() + 2_000);
  const after = fleet.sent.filter(({ kind }) => kind === 'load-summary').length;
  expect(after).to.equal(told);
});

it('shared loads: a call that waits is woken by each summary until its wait ends', () => {
  const fleet = makeFleet();
  const vm = fleet.vms.get(THIRD);
  vm?.beginSend(SERVICE, SERVER, 0);
  let wakes = 0;
  const endWait = vm?.beginWait(SERVICE, 'waiting', () => {
    wakes += 1;
  });
  fleet.run(500);
  expect(wakes).to.be.greaterThan(1);
  endWait?.();
  const before = wakes;
  fleet.run(500);
  expect(wakes).to.equal(before);
});

it('shared loads: without traffic nothing is sent, and nothing for services that are not shared', () => {
  const quiet = makeFleet();
  quiet.run(1_000);
  expect(quiet.sent).to.deep.equal([]);
  const unshared = makeFleet(false);
  unshared.run(1_000, () => {
    for (const vm of unshared.vms.values()) {
      vm.recordArrival(SERVICE, '');
      vm.beginSend(SERVICE, SERVER, unshared.getNow())('answered', unshared.getNow());
    }
  });
  expect(unshared.sent).to.deep.equal([]);
});

it('shared loads: messages go out at most once per tick and VM', () => {
  const fleet = makeFleet();
  fleet.run(1_000, () => {
    for (const vm of fleet.vms.values()) vm.beginSend(SERVICE, SERVER, fleet.getNow());
  });
  const reports = fleet.sent.filter(({ kind }) => kind === 'load-report');
  expect(reports).to.have.length(10 * (NAMES.length - 1));
});

it('shared loads: a VM that hears too few others to sum goes on without sums', () => {
  const fleet = makeFleet();
  for (const vm of fleet.vms.values()) vm.beginSend(SERVICE, SERVER, 0);
  fleet.run(500);
  fleet.leaders.set(SECOND, undefined);
  fleet.run(800);
  expect(findInFlight(fleet, SECOND)).to.equal(undefined);
});
