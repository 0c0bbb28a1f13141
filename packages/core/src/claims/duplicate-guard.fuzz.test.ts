import { expect } from 'chai';
import fc from 'fast-check';
import type { Incarnation, VmId } from '@tarragonspool/protocol';
import {
  handleDuplicateEvent,
  makeDuplicateState,
  type DuplicateEvent,
  type DuplicateMessage,
  type DuplicateState,
} from './duplicate-guard.js';

const VMS = ['vm-1', 'vm-2', 'vm-3'] as VmId[];
const KEY = 'k';

type SentMessage = { readonly from: VmId; readonly to: VmId; readonly message: DuplicateMessage };

/** Simulates three VMs whose links deliver in order; messages to a dead VM are lost. */
class TestCluster {
  now = 0;

  readonly dead = new Set<VmId>();

  readonly states = new Map<VmId, DuplicateState>();

  inTransit: SentMessage[] = [];

  readonly open = new Set<VmId>();

  readonly running = new Set<VmId>();

  verdicts: string[] = [];

  constructor() {
    for (const vmId of VMS) {
      this.states.set(vmId, makeDuplicateState({ vmId, incarnation: 1 as Incarnation }));
    }
    this.tick();
  }

  handle(vmId: VmId, event: DuplicateEvent): void {
    const state = this.states.get(vmId);
    if (state === undefined || this.dead.has(vmId)) return;
    for (const action of handleDuplicateEvent(state, event)) {
      if (action.kind === 'send') {
        this.inTransit.push({ from: vmId, to: action.vmId, message: action.message });
        continue;
      }
      this.verdicts.push(action.verdict);
      this.open.delete(vmId);
      if (action.verdict !== 'first') continue;
      this.running.add(vmId);
      expect(this.running.size, 'submissions running').to.equal(1);
    }
  }

  check(vmId: VmId): void {
    if (this.open.has(vmId) || this.running.has(vmId) || this.dead.has(vmId)) return;
    this.open.add(vmId);
    this.handle(vmId, { kind: 'checked', requestKey: KEY, now: this.now });
  }

  end(vmId: VmId): void {
    if (!this.running.delete(vmId)) return;
    this.handle(vmId, { kind: 'ended', requestKey: KEY, now: this.now });
  }

  /** Delivers the oldest message of one link. */
  deliver(at: number): void {
    const picked = this.inTransit[at % Math.max(1, this.inTransit.length)];
    if (picked === undefined) return;
    const first = this.inTransit.findIndex(
      ({ from, to }) => from === picked.from && to === picked.to,
    );
    const [delivered] = this.inTransit.splice(first, 1);
    if (delivered === undefined) return;
    const from = { vmId: delivered.from, incarnation: 1 as Incarnation };
    this.handle(delivered.to, {
      kind: 'peer-said',
      from,
      message: delivered.message,
      now: this.now,
    });
  }

  tick(by = 20): void {
    this.now += by;
    const liveVms = VMS.filter((vmId) => !this.dead.has(vmId));
    for (const vmId of VMS) {
      this.handle(vmId, { kind: 'ticked', liveVms, aliveVms: liveVms, now: this.now });
    }
  }

  /** Delivers all messages before the answer timeout, as working links do. */
  settle(): void {
    while (this.inTransit.length > 0) this.deliver(0);
    this.tick(200);
    while (this.inTransit.length > 0) this.deliver(0);
  }

  kill(vmId: VmId): void {
    if (this.dead.size === VMS.length - 1) return;
    this.settle();
    this.dead.add(vmId);
    this.open.delete(vmId);
    this.running.delete(vmId);
    this.tick();
    this.settle();
  }
}

const step = fc.tuple(
  fc.constantFrom('check', 'check', 'check', 'end', 'deliver', 'deliver', 'deliver', 'kill'),
  fc.nat({ max: 2 }),
);

it('duplicates: the owner of a request id lets one submission of it run at a time', () => {
  fc.assert(
    fc.property(fc.array(step, { maxLength: 60, size: 'max' }), (steps) => {
      const cluster = new TestCluster();
      for (const [what, at] of steps) {
        const vmId = VMS[at] as VmId;
        if (what === 'check') cluster.check(vmId);
        if (what === 'end') cluster.end(vmId);
        if (what === 'deliver') cluster.deliver(at);
        if (what === 'kill') cluster.kill(vmId);
      }
      cluster.settle();
      expect(cluster.open.size, 'checks without a verdict').to.equal(0);
    }),
  );
});

it('duplicates: a submission runs after the first one ended', () => {
  const cluster = new TestCluster();
  cluster.check('vm-1' as VmId);
  cluster.settle();
  cluster.end('vm-1' as VmId);
  cluster.settle();
  cluster.check('vm-2' as VmId);
  cluster.settle();
  expect(cluster.verdicts).to.deep.equal(['first', 'first']);
});

it('duplicates: a submission is unchecked if two silent owners send no answer', () => {
  const state = makeDuplicateState({ vmId: 'vm-0' as VmId, incarnation: 1 as Incarnation });
  const liveVms = ['vm-0', ...VMS] as VmId[];
  handleDuplicateEvent(state, { kind: 'ticked', liveVms, aliveVms: liveVms, now: 0 });
  const key = ['a', 'b', 'c', 'd', 'e', 'f', 'g', 'h'].find((requestKey) => {
    const trial = makeDuplicateState(state.self);
    handleDuplicateEvent(trial, { kind: 'ticked', liveVms, aliveVms: liveVms, now: 0 });
    handleDuplicateEvent(trial, { kind: 'checked', requestKey, now: 0 });
    const later = handleDuplicateEvent(trial, {
      kind: 'ticked',
      liveVms,
      aliveVms: liveVms,
      now: 200,
    });
    return later.filter(({ kind }) => kind === 'send').length === 2;
  }) as string;
  handleDuplicateEvent(state, { kind: 'checked', requestKey: key, now: 0 });
  handleDuplicateEvent(state, { kind: 'ticked', liveVms, aliveVms: liveVms, now: 200 });
  const last = handleDuplicateEvent(state, {
    kind: 'ticked',
    liveVms,
    aliveVms: liveVms,
    now: 400,
  });
  expect(last.filter(({ kind }) => kind === 'answer')).to.deep.equal([
    { kind: 'answer', requestKey: key, verdict: 'unchecked' },
  ]);
});
