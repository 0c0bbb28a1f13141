import { expect } from 'chai';
import fc from 'fast-check';
import type { PromptPartId } from '@tarragonspool/protocol';
import {
  findQuarantinedParts,
  handlePartEvent,
  listOftenAnswered,
  listQuarantinedParts,
  makePartState,
  type PartEvent,
  type PartState,
  type QuarantinedParts,
} from './part-suspects.js';

const VMS = 3;
const ENGINES = 4;
const FIRST = 'first' as PromptPartId;
const DEADLY = 'deadly' as PromptPartId;
const LATER = ['later-0', 'later-1', 'later-2'] as PromptPartId[];
const RESTART_MS = 2_500;
const SETTLED_MS = 600;
/** VMs in touch have told each other of a crash, and judged it, within this time. */
const CONTACT_MS = 1_000;
/** Crashes after which VMs in touch must know the part, and requests that they may still send then. */
const CERTAIN_CRASHES = 3;
const MAX_LATE_REQUESTS = 3;
/** VMs write what others have reported, or what a restored store has lost, within this time. */
const REWRITE_MS = 3_000;
const TICK_MS = 100;

/** A prompt that an engine has begun to read, sent by a VM. */
type Prompt = { readonly vm: number; readonly parts: readonly PromptPartId[] };
type Engine = { starts: number; upAt: number; begun: Prompt[] };
/** A request that crashed its engine. */
type Crash = { readonly at: number; readonly isInTouch: boolean };

function nameRow({ parts }: QuarantinedParts): string {
  return parts.join();
}

/** VMs that tell each other everything, engines that one part crashes, and the rows that VMs read as they start. */
class PartFleet {
  now = 0;

  readonly vms: PartState[] = Array.from({ length: VMS }, makePartState);

  readonly engines: Engine[] = Array.from({ length: ENGINES }, () => ({
    starts: 1,
    upAt: 0,
    begun: [],
  }));

  readonly crashes: Crash[] = [];

  private readonly rows = new Map<string, QuarantinedParts>();

  private readonly soundRows = new Set<PromptPartId>();

  /** The VM that reaches neither the store nor other VMs. */
  private cutOff: number | undefined;

  /** When VMs write what others have reported and the rows lack. */
  private rowsDueAt = Infinity;

  private prompts = 0;

  private getState(vm: number): PartState {
    return this.vms[vm] as PartState;
  }

  private tellPeers(vm: number, event: PartEvent): void {
    if (vm === this.cutOff) return;
    for (const other of this.vms.keys()) {
      if (other !== vm && other !== this.cutOff) this.apply(other, event, false);
    }
  }

  /** Applies an event as a VM does; one that judged by its own report tells the others. */
  private apply(vm: number, event: PartEvent, isOwn: boolean): void {
    for (const action of handlePartEvent(this.getState(vm), event)) {
      if (action.kind === 'publish-sound') {
        this.tellPeers(vm, { kind: 'heard-sound', parts: action.parts });
      }
      if (action.kind === 'quarantine' && isOwn) {
        this.tellPeers(vm, { kind: 'heard-quarantined', item: action.item, now: this.now });
      }
      if (action.kind === 'publish-sound') continue;
      if (action.kind === 'lift' && vm !== this.cutOff) this.rows.delete(nameRow(action.item));
      if (isOwn) this.writeRows(vm);
      else this.rowsDueAt = Math.min(this.rowsDueAt, this.now + REWRITE_MS);
    }
  }

  /** A VM writes what the rows lack, and all VMs in touch read it. */
  private writeRows(vm: number): void {
    if (vm === this.cutOff) return;
    const known = listQuarantinedParts(this.getState(vm), this.now);
    for (const item of known) this.rows.set(nameRow(item), item);
    for (const other of this.vms.keys()) {
      if (other === vm || other === this.cutOff) continue;
      for (const item of this.rows.values()) this.hear(other, item);
    }
    for (const part of listOftenAnswered(this.getState(vm))) this.soundRows.add(part);
  }

  answer(vm: number, parts: readonly PromptPartId[]): void {
    this.apply(vm, { kind: 'answered', parts }, true);
  }

  private isRefused(vm: number, parts: readonly PromptPartId[]): boolean {
    return findQuarantinedParts(this.getState(vm), parts, this.now) !== undefined;
  }

  /** A sound prompt that an engine has begun to read, unless it is refused. */
  begin(vm: number, later: PromptPartId, at: number): void {
    const parts = [FIRST, later];
    const engine = this.findEngine(at);
    if (engine !== undefined && !this.isRefused(vm, parts)) engine.begun.push({ vm, parts });
  }

  answerAll(at: number): void {
    for (const { vm, parts } of this.engines[at]?.begun.splice(0) ?? []) this.answer(vm, parts);
  }

  private findEngine(at: number): Engine | undefined {
    const up = this.engines.filter(({ upAt }) => upAt <= this.now);
    return up[at % Math.max(1, up.length)];
  }

  /** Sends a prompt with the deadly part, which crashes its engine at once. */
  sendDeadly(vm: number, at: number): void {
    this.prompts += 1;
    const parts = [FIRST, DEADLY, `own-${this.prompts}` as PromptPartId];
    const engine = this.findEngine(at);
    if (engine === undefined || this.isRefused(vm, parts)) return;
    this.crashes.push({ at: this.now, isInTouch: vm !== this.cutOff });
    const crashId = `${this.engines.indexOf(engine)}/${engine.starts}`;
    const begun = [...engine.begun, { vm, parts }];
    Object.assign(engine, { starts: engine.starts + 1, upAt: this.now + RESTART_MS, begun: [] });
    for (const reporter of new Set(begun.map((prompt) => prompt.vm))) {
      const prompts = begun
        .filter((prompt) => prompt.vm === reporter)
        .map((prompt) => prompt.parts);
      const event = { kind: 'crashed', report: { crashId, prompts }, now: this.now } as const;
      this.tellPeers(reporter, event);
      this.apply(reporter, event, true);
    }
  }

  /** A VM reads the rows, and is told what others know as its links open; it tells them the same. */
  private join(vm: number): void {
    const refused = new Set([...this.rows.values()].flatMap(({ parts }) => parts));
    const sound = [...this.soundRows].filter((part) => !refused.has(part));
    this.apply(vm, { kind: 'known-sound', parts: sound }, false);
    for (const item of this.rows.values()) this.hear(vm, item);
    for (const other of this.vms.keys()) {
      if (other === vm || other === this.cutOff) continue;
      this.tellKnown(other, vm);
      this.tellKnown(vm, other);
    }
  }

  private hear(vm: number, item: QuarantinedParts): void {
    this.apply(vm, { kind: 'heard-quarantined', item, now: this.now }, false);
  }

  private tellKnown(from: number, to: number): void {
    const state = this.getState(from);
    this.apply(to, { kind: 'known-sound', parts: listOftenAnswered(state) }, false);
    for (const item of listQuarantinedParts(state, this.now)) this.hear(to, item);
  }

  /** A VM starts again, in touch. */
  restart(vm: number): void {
    if (this.cutOff === vm) this.cutOff = undefined;
    this.vms[vm] = makePartState();
    for (const engine of this.engines) {
      engine.begun = engine.begun.filter((prompt) => prompt.vm !== vm);
    }
    this.join(vm);
  }

  /** Cuts a VM off, or lets the one that is cut off in touch again. */
  toggleCut(vm: number): void {
    const { cutOff } = this;
    this.cutOff = cutOff === undefined ? vm : undefined;
    if (cutOff !== undefined) this.join(cutOff);
  }

  /** The store comes back without the rows of refusals. */
  restoreStore(): void {
    this.rows.clear();
    this.soundRows.clear();
    this.rowsDueAt = Math.min(this.rowsDueAt, this.now + REWRITE_MS);
  }

  wait(ms: number): void {
    for (let passed = 0; passed < ms; passed += TICK_MS) {
      this.now += TICK_MS;
      if (this.now < this.rowsDueAt) continue;
      this.rowsDueAt = Infinity;
      for (const vm of this.vms.keys()) this.writeRows(vm);
    }
  }

  /** Counts the requests with the part that VMs in touch sent to engines long after its third crash. */
  countLate(): number {
    const third = this.crashes[CERTAIN_CRASHES - 1];
    if (third === undefined) return 0;
    const isLate = ({ at, isInTouch }: Crash): boolean => isInTouch && at > third.at + CONTACT_MS;
    return this.crashes.filter(isLate).length;
  }

  /** All VMs are in touch again, and send the sound prompts that they don't refuse; these are answered. */
  serveSound(): void {
    if (this.cutOff !== undefined) this.toggleCut(this.cutOff);
    this.wait(REWRITE_MS);
    for (const vm of this.vms.keys()) for (const later of LATER) this.begin(vm, later, vm);
    for (const engine of this.engines.keys()) this.answerAll(engine);
  }

  listRefusedSound(): string[] {
    const refused: string[] = [];
    for (const vm of this.vms.keys()) {
      for (const later of LATER) if (this.isRefused(vm, [FIRST, later])) refused.push(later);
    }
    return refused;
  }
}

const step = fc.record({
  what: fc.constantFrom(
    'begin',
    'begin',
    'deadly',
    'deadly',
    'answers',
    'cut',
    'restart',
    'restore',
    'wait',
  ),
  vm: fc.nat({ max: VMS - 1 }),
  later: fc.constantFrom(...LATER),
  engine: fc.nat({ max: ENGINES - 1 }),
});

/** Plays steps after a calm time in which all sound parts were answered often. */
function playParts(
  steps: readonly (typeof step extends fc.Arbitrary<infer Step> ? Step : never)[],
): PartFleet {
  const fleet = new PartFleet();
  for (let count = 0; count < 10; count += 1) {
    for (const vm of fleet.vms.keys()) for (const later of LATER) fleet.answer(vm, [FIRST, later]);
  }
  for (const { what, vm, later, engine } of steps) {
    if (what === 'begin') fleet.begin(vm, later, engine);
    if (what === 'answers') fleet.answerAll(engine);
    if (what === 'restart') fleet.restart(vm);
    if (what === 'cut') fleet.toggleCut(vm);
    if (what === 'restore') fleet.restoreStore();
    if (what === 'wait') fleet.wait(SETTLED_MS);
    if (what === 'deadly') {
      fleet.sendDeadly(vm, engine);
      fleet.wait(SETTLED_MS);
    }
  }
  return fleet;
}

// Guards against a part that crashes engine after engine, sent by VMs that have forgotten it over cuts, restarts and lost rows.
it('part fleet: over cuts, restarts and a store that loses rows, VMs in touch keep a deadly part from engines', () => {
  fc.assert(
    fc.property(fc.array(step, { maxLength: 100, size: 'max' }), (steps) => {
      expect(playParts(steps).countLate()).to.be.at.most(MAX_LATE_REQUESTS);
    }),
  );
});

// Guards against sound prompts that are refused in the place of deadly ones, for longer than until the next answer.
it('part fleet: over cuts, restarts and a store that loses rows, sound prompts are served once VMs are in touch', () => {
  fc.assert(
    fc.property(fc.array(step, { maxLength: 100, size: 'max' }), (steps) => {
      const fleet = playParts(steps);
      fleet.serveSound();
      expect(fleet.listRefusedSound()).to.deep.equal([]);
    }),
  );
});
