import { expect } from 'chai';
import fc from 'fast-check';
import type {
  EditId,
  RuleRevision,
  TableRow,
  TableWrite,
  TransactResult,
  VmId,
} from '@tarragonspool/protocol';
import { renderDocument } from './rule-document.js';
import { handleRulesEvent, isAdmitting, makeRulesState } from './rules-machine.js';
import type { EditOutcome, RulesAction, RulesEvent, RulesState } from './rules-state.js';

/** `generation` changes at a restart, so that calls and messages from before it are dropped. */
type Vm = { state: RulesState; highestRevision: number; inForceText: string; generation: number };
type Pending = { vm: number; generation: number; run: () => RulesEvent | undefined };
type World = {
  now: number;
  isTableDown: boolean;
  isAnswerLost: boolean;
  areLinksCut: boolean;
  rows: Map<string, TableRow>;
  objects: Map<string, string>;
  vms: Vm[];
  pending: Pending[];
  edits: Map<EditId, { text: string; outcome: EditOutcome | undefined }>;
};

const VM_COUNT = 3;
const EDIT_TIMEOUT_MS = 3_000;

function makeVm(generation: number): Vm {
  return { state: makeRulesState(generation + 1), highestRevision: 0, inForceText: '', generation };
}

function makeWorld(): World {
  const vms: Vm[] = [];
  for (let index = 0; index < VM_COUNT; index += 1) vms.push(makeVm(index));
  return {
    now: 1,
    isTableDown: false,
    isAnswerLost: false,
    areLinksCut: false,
    rows: new Map(),
    objects: new Map(),
    vms,
    pending: [],
    edits: new Map(),
  };
}

function commitWrites(world: World, writes: readonly TableWrite[]): TransactResult {
  for (const write of writes) {
    const row = world.rows.get(write.key);
    const canApply = write.kind === 'insert' ? row === undefined : row?.version === write.ifVersion;
    if (!canApply) return { kind: 'conflict', rows: row === undefined ? [] : [row] };
  }
  for (const write of writes) {
    if (write.kind === 'delete') world.rows.delete(write.key);
    else {
      const version = (world.rows.get(write.key)?.version ?? 0) + 1;
      world.rows.set(write.key, { key: write.key, value: write.value, version });
    }
  }
  return { kind: 'committed' };
}

function callPlatform(world: World, action: RulesAction): (() => RulesEvent) | undefined {
  const { now } = world;
  switch (action.kind) {
    case 'read-rows':
      return () => {
        const { callId, keys } = action;
        if (world.isTableDown) {
          return { kind: 'rows-read', callId, result: { kind: 'unavailable' }, now: world.now };
        }
        const rows = keys.flatMap((key) => world.rows.get(key) ?? []);
        return { kind: 'rows-read', callId, result: { kind: 'rows', rows }, now: world.now };
      };
    case 'transact':
      return () => {
        const { callId } = action;
        const result: TransactResult = world.isTableDown
          ? { kind: 'unavailable' }
          : commitWrites(world, action.writes);
        const reported: TransactResult = world.isAnswerLost ? { kind: 'lost' } : result;
        return { kind: 'transacted', callId, result: reported, now: world.now };
      };
    case 'put-object':
      return () => {
        if (!world.isTableDown) world.objects.set(action.key, action.text);
        const isStored = !world.isTableDown;
        return { kind: 'object-put', callId: action.callId, isStored, now };
      };
    case 'read-object':
      return () => {
        const text = world.isTableDown ? undefined : world.objects.get(action.key);
        return { kind: 'object-read', callId: action.callId, text, now: world.now };
      };
    default:
      return undefined;
  }
}

function sendToPeer(world: World, from: number, to: number, event: RulesEvent): void {
  const { generation } = world.vms[to] ?? makeVm(0);
  if (from === to || world.areLinksCut) return;
  world.pending.push({ vm: to, generation, run: () => event });
}

function getVmIndex(vmId: VmId): number {
  return Number(vmId);
}

function performAction(world: World, vmIndex: number, action: RulesAction): void {
  const vm = world.vms[vmIndex] ?? makeVm(0);
  const { now } = world;
  const call = callPlatform(world, action);
  if (call !== undefined) {
    world.pending.push({ vm: vmIndex, generation: vm.generation, run: call });
    return;
  }
  const vmId = String(vmIndex) as VmId;
  for (const [peer] of world.vms.entries()) {
    if (action.kind === 'broadcast-deltas') {
      sendToPeer(world, vmIndex, peer, { kind: 'peer-deltas', deltas: action.deltas, now });
    }
    if (action.kind === 'broadcast-file') {
      const text = renderDocument(action.document);
      const { revision } = action.document;
      sendToPeer(world, vmIndex, peer, { kind: 'peer-file', revision, text, now });
    }
  }
  switch (action.kind) {
    case 'put-in-force':
      expect(action.document.revision).to.be.at.least(vm.highestRevision);
      vm.highestRevision = action.document.revision;
      vm.inForceText = renderDocument(action.document);
      return;
    case 'send-deltas':
      sendToPeer(world, vmIndex, getVmIndex(action.vmId), {
        kind: 'peer-deltas',
        deltas: action.deltas,
        now,
      });
      return;
    case 'send-file': {
      const { revision } = action.document;
      const text = renderDocument(action.document);
      sendToPeer(world, vmIndex, getVmIndex(action.vmId), {
        kind: 'peer-file',
        revision,
        text,
        now,
      });
      return;
    }
    case 'want-rules': {
      const { afterRevision } = action;
      const wants = { kind: 'peer-wants', vmId, afterRevision, now } as const;
      sendToPeer(world, vmIndex, getVmIndex(action.vmId), wants);
      return;
    }
    case 'answer-edit': {
      const edit = world.edits.get(action.editId);
      if (edit !== undefined) edit.outcome = action.outcome;
      return;
    }
    case 'delete-object':
      if (!world.isTableDown) world.objects.delete(action.key);
      return;
    case 'report-violation':
      throw new Error(`${action.invariant}: ${action.detail}`);
    default:
  }
}

function deliver(world: World, vmIndex: number, event: RulesEvent): void {
  const vm = world.vms[vmIndex];
  if (vm === undefined) return;
  for (const action of handleRulesEvent(vm.state, event)) performAction(world, vmIndex, action);
}

function runPending(world: World, at: number): void {
  const [pending] = world.pending.splice(at % Math.max(1, world.pending.length), 1);
  if (pending === undefined) return;
  const event = pending.run();
  const isAlive = world.vms[pending.vm]?.generation === pending.generation;
  if (event !== undefined && isAlive) deliver(world, pending.vm, event);
}

function tick(world: World, milliseconds: number): void {
  world.now += milliseconds;
  for (const [index, vm] of world.vms.entries()) {
    deliver(world, index, { kind: 'ticked', now: world.now });
    const revision = (vm.state.document?.revision ?? 0) as RuleRevision;
    for (const [peer] of world.vms.entries()) {
      const vmId = String(index) as VmId;
      sendToPeer(world, index, peer, { kind: 'peer-revision', vmId, revision, now: world.now });
    }
  }
}

type Step =
  | { kind: 'edit'; vm: number; lines: number; isStale: boolean }
  | { kind: 'run'; at: number }
  | { kind: 'tick'; milliseconds: number }
  | { kind: 'restart'; vm: number }
  | { kind: 'fault'; fault: 'isTableDown' | 'isAnswerLost' | 'areLinksCut'; isOn: boolean };

const vmIndexArbitrary = fc.nat({ max: VM_COUNT - 1 });
const stepArbitrary: fc.Arbitrary<Step> = fc.oneof(
  {
    weight: 3,
    arbitrary: fc.record({
      kind: fc.constant('edit' as const),
      vm: vmIndexArbitrary,
      lines: fc.nat({ max: 6 }),
      isStale: fc.boolean(),
    }),
  },
  {
    weight: 12,
    arbitrary: fc.record({ kind: fc.constant('run' as const), at: fc.nat({ max: 30 }) }),
  },
  {
    weight: 6,
    arbitrary: fc.record({
      kind: fc.constant('tick' as const),
      milliseconds: fc.nat({ max: 2_000 }),
    }),
  },
  {
    weight: 1,
    arbitrary: fc.record({ kind: fc.constant('restart' as const), vm: vmIndexArbitrary }),
  },
  {
    weight: 2,
    arbitrary: fc.record({
      kind: fc.constant('fault' as const),
      fault: fc.constantFrom(
        'isTableDown' as const,
        'isAnswerLost' as const,
        'areLinksCut' as const,
      ),
      isOn: fc.boolean(),
    }),
  },
);

function requestEdit(world: World, step: Extract<Step, { kind: 'edit' }>): void {
  const vm = world.vms[step.vm];
  const editId = `edit-${world.edits.size}` as EditId;
  const lines: string[] = [];
  for (let index = 0; index < step.lines; index += 1) lines.push(`allow c${index} s # ${editId}`);
  const text = [...lines, ''].join('\n');
  const ownRevision = vm?.state.document?.revision ?? 0;
  const baseRevision = (step.isStale ? Math.max(0, ownRevision - 1) : ownRevision) as RuleRevision;
  world.edits.set(editId, { text, outcome: undefined });
  const deadline = world.now + EDIT_TIMEOUT_MS;
  const edit = { editId, baseRevision, author: 'test', text, deadline };
  deliver(world, step.vm, { kind: 'edit-requested', edit, now: world.now });
}

function runStep(world: World, step: Step): void {
  switch (step.kind) {
    case 'edit':
      requestEdit(world, step);
      return;
    case 'run':
      runPending(world, step.at);
      return;
    case 'tick':
      tick(world, step.milliseconds);
      return;
    case 'restart':
      world.vms[step.vm] = makeVm((world.vms[step.vm]?.generation ?? 0) + VM_COUNT);
      return;
    default:
      world[step.fault] = step.isOn;
  }
}

/** Clears every fault, then ticks and runs pending work until the VMs have converged. */
function settle(world: World): void {
  world.isTableDown = false;
  world.isAnswerLost = false;
  world.areLinksCut = false;
  for (let round = 0; round < 30; round += 1) {
    tick(world, 500);
    while (world.pending.length > 0) runPending(world, 0);
  }
}

function checkConvergence(world: World): void {
  const current = world.rows.get('rules/current');
  const revision =
    current === undefined ? 0 : (JSON.parse(current.value) as { revision: number }).revision;
  for (const vm of world.vms) {
    expect(vm.state.document?.revision).to.equal(revision);
    expect(isAdmitting(vm.state, world.now)).to.equal(true);
  }
  for (const [editId, { text, outcome }] of world.edits) {
    const row = world.rows.get(`rules/edits/${editId}`);
    const accepted = row && (JSON.parse(row.value) as { revision: number }).revision;
    if (outcome?.kind === 'accepted') expect(accepted).to.equal(outcome.revision);
    const isNotRun = outcome?.kind === 'refused' && outcome.refusal.ran === 'not-run';
    if (isNotRun) expect(accepted, `${editId} was refused as not run`).to.equal(undefined);
    if (accepted !== undefined && accepted === revision) {
      for (const vm of world.vms) expect(vm.inForceText).to.equal(text);
    }
  }
}

it('rules: VMs end with one edit history after lost answers, outages, cut links and restarts', () => {
  fc.assert(
    fc.property(fc.array(stepArbitrary, { minLength: 60, maxLength: 240 }), (steps) => {
      const world = makeWorld();
      for (const step of steps) runStep(world, step);
      settle(world);
      checkConvergence(world);
    }),
  );
});
