import { computeMaxStoreAgeMs, READER_COUNT } from '@tarragonspool/core';
import type { AliveMessage, ServiceName, VmId } from '@tarragonspool/protocol';
import { expect } from 'chai';
import fc from 'fast-check';
import { makeFleetView, type FleetMember, type FleetView } from './fleet-view.js';

const VM_COUNT = 12;
const MAX_STORE_AGE_MS = computeMaxStoreAgeMs(2_000);
/** A call of the store that gets no answer is given up after this time. */
const CALL_TIMEOUT_MS = 2_900;
const STEP_MS = 200;
/** Steps after the last change within which the views must agree. */
const SETTLE_STEPS = 30;
const SERVICE = 'llm' as ServiceName;

/** A VM of the model; `canRead` says whether the store answers it. */
type ModelVm = {
  readonly vmId: VmId;
  readonly view: FleetView;
  isUp: boolean;
  canRead: boolean;
  isReading: boolean;
  /** Since when its calls get no answer and no error. */
  silentSince: number | undefined;
  readonly links: Set<VmId>;
};

type Change =
  | { readonly kind: 'down'; readonly vm: number }
  | { readonly kind: 'up'; readonly vm: number }
  | { readonly kind: 'cut-from-store'; readonly vm: number }
  | { readonly kind: 'silent-store'; readonly vm: number }
  | { readonly kind: 'reach-store'; readonly vm: number }
  | { readonly kind: 'wait'; readonly steps: number };

type World = { now: number; readonly vms: readonly ModelVm[]; readonly members: FleetMember[] };

function makeWorld(): World {
  const members = Array.from({ length: VM_COUNT }, (_unused, index) => ({
    vmId: `vm-${index}` as VmId,
    peerAddress: `10.0.0.${index}:1`,
    capacity: index % 3,
  }));
  const vms = members.map(({ vmId }) => ({
    vmId,
    view: makeFleetView(vmId, MAX_STORE_AGE_MS),
    isUp: true,
    canRead: true,
    isReading: false,
    silentSince: undefined,
    links: new Set<VmId>(),
  }));
  for (const { view } of vms) {
    view.setMembers(members);
    view.setServices([SERVICE]);
  }
  return { now: 0, vms, members };
}

function findVm({ vms }: World, vmId: VmId): ModelVm {
  const vm = vms.find((other) => other.vmId === vmId);
  if (vm === undefined) throw new Error(`no VM ${vmId}`);
  return vm;
}

function openLinks(world: World, vm: ModelVm): void {
  for (const { vmId } of vm.view.listTargets(world.now)) {
    if (vm.links.has(vmId)) continue;
    const peer = findVm(world, vmId);
    if (!peer.isUp) {
      vm.view.recordUnreachable(vmId, world.now);
      continue;
    }
    vm.links.add(vmId);
    peer.links.add(vm.vmId);
    vm.view.recordLinkOpened(vmId, world.now);
    peer.view.recordLinkOpened(vm.vmId, world.now);
  }
}

/** Returns how old a VM's knowledge of the store is, read or told by peers. */
function measureAgeMs({ view, isReading, silentSince }: ModelVm, now: number): number {
  const peerAgeMs = Math.min(60_000, view.measureStoreAgeMs(now));
  return isReading ? Math.min(peerAgeMs, now - (silentSince ?? now)) : peerAgeMs;
}

function buildAlive(vm: ModelVm, now: number): AliveMessage {
  const { isReading } = vm;
  const storeAgeMs = measureAgeMs(vm, now);
  const isStoreAway = storeAgeMs > MAX_STORE_AGE_MS;
  return {
    kind: 'alive',
    isStoreAway,
    isReading,
    isLeaving: false,
    isCutOff: false,
    lostServers: [],
    storeAgeMs,
    positions: [],
  };
}

function runStep(world: World): void {
  world.now += STEP_MS;
  const live = world.vms.filter(({ isUp }) => isUp);
  for (const vm of live) openLinks(world, vm);
  for (const vm of live) {
    const isGivenUp = world.now - (vm.silentSince ?? Infinity) > CALL_TIMEOUT_MS;
    const canRead = vm.canRead && !isGivenUp;
    vm.isReading = canRead && vm.view.chooseSource(vm.isReading, world.now) === 'store';
  }
  const messages = live.map((vm) => ({ vm, message: buildAlive(vm, world.now) }));
  for (const { vm, message } of messages) {
    for (const peerId of vm.links) {
      findVm(world, peerId).view.recordAlive(vm.vmId, message, world.now);
    }
  }
}

function loseVm(world: World, vm: ModelVm): void {
  vm.isUp = false;
  vm.isReading = false;
  for (const peerId of vm.links) {
    const peer = findVm(world, peerId);
    peer.links.delete(vm.vmId);
    peer.view.recordLinkLost(vm.vmId, world.now);
    vm.view.recordLinkLost(peerId, world.now);
  }
  vm.links.clear();
}

function applyChange(world: World, change: Change): void {
  if (change.kind === 'wait') {
    for (let step = 0; step < change.steps; step += 1) runStep(world);
    return;
  }
  const vm = world.vms[change.vm];
  if (vm === undefined) return;
  if (change.kind === 'down' && vm.isUp) loseVm(world, vm);
  if (change.kind === 'up') vm.isUp = true;
  if (change.kind === 'cut-from-store') vm.canRead = false;
  if (change.kind === 'silent-store') vm.silentSince ??= world.now;
  if (change.kind !== 'reach-store') return;
  vm.canRead = true;
  vm.silentSince = undefined;
}

const vmIndex = fc.nat({ max: VM_COUNT - 1 });
const anyChange: fc.Arbitrary<Change> = fc.oneof(
  fc.record({ kind: fc.constant('down'), vm: vmIndex }),
  fc.record({ kind: fc.constant('up'), vm: vmIndex }),
  fc.record({ kind: fc.constant('cut-from-store'), vm: vmIndex }),
  fc.record({ kind: fc.constant('silent-store'), vm: vmIndex }),
  fc.record({ kind: fc.constant('reach-store'), vm: vmIndex }),
  fc.record({ kind: fc.constant('wait'), steps: fc.integer({ min: 1, max: 20 }) }),
);

it('fleet: after any losses every live VM knows the store, two read it where all can, and all link the same hubs', () => {
  fc.assert(
    fc.property(fc.array(anyChange, { maxLength: 30, size: 'max' }), (changes) => {
      const world = makeWorld();
      for (const change of changes) applyChange(world, change);
      for (let step = 0; step < SETTLE_STEPS; step += 1) runStep(world);
      const live = world.vms.filter(({ isUp }) => isUp);
      const hasPath = (vm: ModelVm): boolean => vm.canRead && vm.silentSince === undefined;
      if (!live.some(hasPath)) return;
      for (const vm of live) {
        expect(measureAgeMs(vm, world.now), vm.vmId).to.be.at.most(MAX_STORE_AGE_MS);
      }
      if (live.every(hasPath)) {
        const readers = live.filter(({ isReading }) => isReading);
        expect(readers).to.have.length(Math.min(READER_COUNT, live.length));
      }
      const listHubs = (vm: ModelVm): string =>
        [...vm.view.listTargets(world.now).map(({ vmId }) => vmId)]
          .concat(vm.view.isHub(world.now) ? [vm.vmId] : [])
          .sort()
          .join();
      expect(new Set(live.map(listHubs)).size).to.equal(1);
    }),
  );
});
