import {
  makeStorePosition,
  STORE_START,
  type StorePosition,
  type VmId,
} from '@tarragonspool/protocol';
import { expect } from 'chai';
import fc from 'fast-check';
import {
  applyAcquired,
  applyLeaseRow,
  applyStoreEra,
  chooseLeaseStep,
  makeOrderLease,
  type OrderLease,
} from './order-lease.js';

const LEASE_MS = 3_000;
const VM_COUNT = 3;

type StoredRow = { readonly version: number; readonly holder: VmId; readonly writtenAt: number };
type Snapshot = { readonly version: number; readonly row: StoredRow | undefined };

/** A store that can be restored from any earlier state of its current era. */
type ModelStore = { era: number; version: number; row: StoredRow | undefined; history: Snapshot[] };

/** A conditional write on its way; the row was read in `readEra`. */
type PendingWrite = {
  readonly expected: StorePosition;
  readonly readEra: number;
  readonly sentAt: number;
};

type ModelVm = {
  readonly vmId: VmId;
  readonly lease: OrderLease;
  seenEra: { era: number; seenAt: number };
  pending: PendingWrite | undefined;
};

type Order = { readonly vmId: VmId; readonly fence: number; readonly at: number };

type World = { now: number; store: ModelStore; vms: ModelVm[]; orders: Order[] };

type Step =
  | { readonly kind: 'wait'; readonly ms: number }
  | { readonly kind: 'read'; readonly vm: number }
  | { readonly kind: 'deliver'; readonly vm: number; readonly isAnswered: boolean }
  | { readonly kind: 'order'; readonly vm: number }
  | { readonly kind: 'restore'; readonly back: number };

function makeWorld(): World {
  const vms = Array.from({ length: VM_COUNT }, (_unused, index) => ({
    vmId: `vm-${index}` as VmId,
    lease: makeOrderLease(),
    seenEra: { era: 0, seenAt: 0 },
    pending: undefined,
  }));
  return { now: 0, store: { era: 0, version: 1, row: undefined, history: [] }, vms, orders: [] };
}

function readRow({ now, store }: World, vm: ModelVm): void {
  if (store.era > vm.seenEra.era) vm.seenEra = { era: store.era, seenAt: now };
  applyStoreEra(vm.lease, store.era, vm.seenEra.seenAt, LEASE_MS);
  const { row } = store;
  const position = row === undefined ? STORE_START : makeStorePosition(store.era, row.version);
  const ageMs = row === undefined ? 0 : now - row.writtenAt;
  applyLeaseRow(vm.lease, { position, holder: row?.holder, ageMs }, now);
  const step = chooseLeaseStep(vm.lease, vm.vmId, LEASE_MS, true, now);
  if (step.kind !== 'acquire' || vm.pending !== undefined) return;
  vm.pending = { expected: step.expected, readEra: store.era, sentAt: now };
}

function deliverWrite({ now, store }: World, vm: ModelVm, isAnswered: boolean): void {
  const { pending } = vm;
  vm.pending = undefined;
  if (pending === undefined) return;
  const version = store.row === undefined ? 0 : store.row.version;
  if (version !== Number(pending.expected) % 2 ** 40) return;
  store.history.push({ version: store.version, row: store.row });
  store.version += 1;
  store.row = { version: store.version, holder: vm.vmId, writtenAt: pending.sentAt };
  if (!isAnswered) return;
  const position = makeStorePosition(store.era, store.version);
  const times = { sentAt: pending.sentAt, readEra: pending.readEra, now };
  applyAcquired(vm.lease, vm.vmId, position, LEASE_MS, times);
}

function restoreStore({ store }: World, back: number): void {
  const snapshot = store.history.at(-1 - back) ?? { version: 1, row: undefined };
  Object.assign(store, { ...snapshot, era: store.era + 1, history: [] });
}

function giveOrder({ now, orders }: World, vm: ModelVm): void {
  const step = chooseLeaseStep(vm.lease, vm.vmId, LEASE_MS, false, now);
  if (step.kind === 'order') orders.push({ vmId: vm.vmId, fence: step.fence, at: now });
}

function performStep(world: World, step: Step): void {
  if (step.kind === 'wait') {
    world.now += step.ms;
    return;
  }
  if (step.kind === 'restore') {
    restoreStore(world, step.back);
    return;
  }
  const vm = world.vms[step.vm];
  if (vm === undefined) return;
  if (step.kind === 'read') readRow(world, vm);
  else if (step.kind === 'deliver') deliverWrite(world, vm, step.isAnswered);
  else giveOrder(world, vm);
}

const vmIndex = fc.nat({ max: VM_COUNT - 1 });
const anyStep: fc.Arbitrary<Step> = fc.oneof(
  {
    weight: 4,
    arbitrary: fc.record({ kind: fc.constant('wait'), ms: fc.integer({ min: 10, max: 2_500 }) }),
  },
  { weight: 5, arbitrary: fc.record({ kind: fc.constant('read'), vm: vmIndex }) },
  {
    weight: 5,
    arbitrary: fc.record({ kind: fc.constant('deliver'), vm: vmIndex, isAnswered: fc.boolean() }),
  },
  { weight: 5, arbitrary: fc.record({ kind: fc.constant('order'), vm: vmIndex }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('restore'), back: fc.nat({ max: 4 }) }) },
);

it('lease: over restores of the store, two VMs never take turns within the lease and fencing tokens only rise', () => {
  fc.assert(
    fc.property(fc.array(anyStep, { maxLength: 120, size: 'max' }), (steps) => {
      const world = makeWorld();
      for (const step of steps) performStep(world, step);
      for (const [index, order] of world.orders.entries()) {
        const before = world.orders[index - 1];
        if (before === undefined) continue;
        expect(order.fence).to.be.at.least(before.fence);
        if (order.vmId !== before.vmId) expect(order.at - before.at).to.be.at.least(LEASE_MS);
      }
    }),
  );
});
