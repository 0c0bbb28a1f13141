import { makePermitSchedules, type LimitedUpstream } from '@tarragonspool/core';
import type { PermitMessage, ServiceName, UpstreamId, VmId } from '@tarragonspool/protocol';
import { expect } from 'chai';
import fc from 'fast-check';
import { pino } from 'pino';
import { makeOwnerSelector, type OwnerSelector } from './owners.js';
import { makePermitClient, type PermitClient } from './permit-client.js';
import { makePermitKeeper } from './permit-keeper.js';
import type { PermitRequestId } from './permit-messages.js';

const VMS = ['vm-1', 'vm-2', 'vm-3', 'vm-4'] as VmId[];
const RANKING = 'hubs' as ServiceName;
const SERVER: LimitedUpstream = {
  upstreamId: 'a' as UpstreamId,
  incarnation: 1,
  requestsPerSecond: 4,
};
const STEP_MS = 25;
const ALIVE_MS = 200;
const ASK_MS = 50;
const HISTORY_MS = 12_000;
const WINDOW_MS = 4_000;
/** A VM whose fault has ended is known to the others as alive within this time. */
const SETTLE_MS = 1_000;
const ALLOWED = (1.5 * SERVER.requestsPerSecond * WINDOW_MS) / 1_000 + 5;

type Fault = {
  readonly kind: 'frozen' | 'cut' | 'restarted';
  readonly vm: VmId;
  readonly from: number;
  readonly until: number;
};

const FAULT = fc
  .record({
    kind: fc.constantFrom('frozen' as const, 'cut' as const, 'restarted' as const),
    vm: fc.constantFrom(...VMS),
    from: fc.integer({ min: 0, max: HISTORY_MS }),
    forMs: fc.integer({ min: 100, max: 4_000 }),
  })
  .map(({ kind, vm, from, forMs }): Fault => ({ kind, vm, from, until: from + forMs }));

type Envelope = {
  readonly from: VmId;
  readonly to: VmId;
  readonly message: PermitMessage | 'alive';
};

type Vm = {
  selector: OwnerSelector;
  client: PermitClient;
  keep: ReturnType<typeof makePermitKeeper>;
};

const logger = pino({ level: 'silent' });

function makeVm(self: VmId, now: number, send: (to: VmId, message: PermitMessage) => void): Vm {
  const selector = makeOwnerSelector(self);
  for (const peer of VMS) if (peer !== self) selector.addLink(peer, now);
  const client = makePermitClient({ self, ownerSelector: selector, send, logger });
  const schedules = makePermitSchedules();
  const keep = makePermitKeeper({ self, ownerSelector: selector, schedules, send });
  return { selector, client, keep };
}

/** Plays one history; returns when each VM was permitted to send to the server. */
function playHistory(faults: readonly Fault[]): { at: number; vm: VmId }[] {
  const sends: { at: number; vm: VmId }[] = [];
  let queue: Envelope[] = [];
  let askCount = 0;
  const hasFault = (vm: VmId, kind: Fault['kind'], now: number): boolean =>
    faults.some(
      (fault) => fault.vm === vm && fault.kind === kind && fault.from <= now && now < fault.until,
    );
  const makeSend =
    (from: VmId) =>
    (to: VmId, message: PermitMessage): void => {
      queue.push({ from, to, message });
    };
  const vms = new Map(VMS.map((vmId) => [vmId, makeVm(vmId, 0, makeSend(vmId))]));

  function deliver({ from, to, message }: Envelope, now: number): void {
    const vm = vms.get(to);
    if (vm === undefined) return;
    if (from !== to) vm.selector.recordMessage(from, now);
    if (message === 'alive') return;
    if (message.kind === 'permit-request') vm.keep(from, message, now);
    else vm.client.handleAnswer(from, message, now);
  }

  function askFor(vmId: VmId, now: number): void {
    askCount += 1;
    const permitRequestId = `${vmId}/${askCount}` as PermitRequestId;
    const onReply = (reply: { readonly kind: string }): void => {
      if (reply.kind === 'permitted') sends.push({ at: now, vm: vmId });
    };
    const request = { permitRequestId, ranking: RANKING, servers: [SERVER], onReply };
    vms.get(vmId)?.client.handleRequest({ ...request, latestAt: now }, now);
  }

  for (let now = 0; now < HISTORY_MS; now += STEP_MS) {
    for (const vmId of VMS) {
      const isStarting = faults.some(
        ({ kind, vm, from }) =>
          kind === 'restarted' && vm === vmId && from <= now && now < from + STEP_MS,
      );
      if (isStarting) vms.set(vmId, makeVm(vmId, now, makeSend(vmId)));
      if (hasFault(vmId, 'frozen', now)) continue;
      if (now % ALIVE_MS === 0) {
        for (const to of VMS) if (to !== vmId) queue.push({ from: vmId, to, message: 'alive' });
      }
      if (now % ASK_MS === 0) askFor(vmId, now);
      vms.get(vmId)?.client.checkKeepers(now);
    }
    const isHeld = ({ to }: Envelope): boolean => hasFault(to, 'frozen', now);
    const isLost = ({ from, to }: Envelope): boolean =>
      from !== to && (hasFault(from, 'cut', now) || hasFault(to, 'cut', now));
    for (let round = 0; round < 2; round += 1) {
      const due = queue.filter((envelope) => !isHeld(envelope));
      queue = queue.filter(isHeld);
      for (const envelope of due) if (!isLost(envelope)) deliver(envelope, now);
    }
  }
  return sends;
}

/** Whether a fault of the VM excuses what it sent in a window. */
function isExcused(vm: VmId, faults: readonly Fault[], windowStart: number): boolean {
  return faults.some(
    (fault) =>
      fault.vm === vm &&
      fault.from < windowStart + WINDOW_MS &&
      fault.until + SETTLE_MS > windowStart,
  );
}

// Guards against two VMs that keep the same limit, and against a share that follows a wrong number of VMs.
it('permits: while VMs restart, are suspended and cut, the others together stay within the limit of a server', () => {
  fc.assert(
    fc.property(fc.array(FAULT, { maxLength: 5 }), (faults) => {
      const sends = playHistory(faults);
      for (const { at: start } of sends) {
        const counted = sends.filter(
          ({ at, vm }) => at >= start && at < start + WINDOW_MS && !isExcused(vm, faults, start),
        );
        expect(counted.length).to.be.at.most(ALLOWED);
      }
    }),
  );
});

it('permits: without faults the limit of a server is used', () => {
  const sends = playHistory([]);
  const expected = (SERVER.requestsPerSecond * HISTORY_MS) / 1_000;
  expect(sends.length).to.be.within(0.9 * expected, expected + 1);
});
