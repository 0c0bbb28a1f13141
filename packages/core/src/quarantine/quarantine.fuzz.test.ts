import { expect } from 'chai';
import fc from 'fast-check';
import type { Fingerprint, UpstreamId } from '@tarragonspool/protocol';
import {
  findStanding,
  handleQuarantineEvent,
  listQuarantined,
  makeQuarantineState,
  type QuarantineEvent,
  type QuarantineState,
} from './quarantine.js';

const KILLER = 'killer' as Fingerprint;
const RESTART_MS = 500;
const ENGINES = ['e1', 'e2', 'e3'] as UpstreamId[];

type Job = { readonly vm: number; readonly fingerprint: Fingerprint; hasTokens: boolean };

/** Two VMs that run contents on three engines; one content kills the engine that begins it. */
class World {
  now = 0;

  readonly vms: QuarantineState[] = [makeQuarantineState(), makeQuarantineState()];

  readonly engines = new Map<UpstreamId, Job[]>(ENGINES.map((id) => [id, []]));

  kills = 0;

  gate: Job | undefined;

  /** When an engine that died serves again. */
  readonly downUntil = new Map<UpstreamId, number>();

  private handle(vm: number, event: QuarantineEvent): void {
    for (const action of handleQuarantineEvent(this.vms[vm] as QuarantineState, event)) {
      if (action.kind === 'probe') {
        const { upstreamId } = action;
        this.handle(vm, { kind: 'probed', upstreamId, isAlive: false, now: this.now });
      }
      if (action.kind !== 'publish') continue;
      for (const other of this.vms.keys()) {
        if (other !== vm) this.handle(other, { kind: 'heard', items: action.items, now: this.now });
      }
    }
  }

  /** The gate lets one suspect run and stays shut until its crash, if any, has been judged. */
  private isGateShut(): boolean {
    const { gate } = this;
    if (gate === undefined) return false;
    const state = this.vms[gate.vm] as QuarantineState;
    const { kind } = findStanding(state, gate.fingerprint, this.now);
    const isRunning = [...this.engines.values()].flat().includes(gate);
    if (isRunning || kind === 'in-doubt') return true;
    this.gate = undefined;
    return false;
  }

  private isInDoubt(fingerprint: Fingerprint): boolean {
    return this.vms.some((state) => findStanding(state, fingerprint, this.now).kind === 'in-doubt');
  }

  private isRunning(fingerprint: Fingerprint): boolean {
    const all = [...this.engines.values()].flat();
    return all.some((job) => job.fingerprint === fingerprint);
  }

  start(vm: number, fingerprint: Fingerprint, upstreamId: UpstreamId): void {
    const standing = findStanding(this.vms[vm] as QuarantineState, fingerprint, this.now);
    if (standing.kind === 'quarantined' || standing.kind === 'in-doubt') return;
    if (standing.kind === 'suspect' && this.isGateShut()) return;
    // Copies of one innocent content on two engines that die at once are not told from a killer.
    if (fingerprint !== KILLER && this.isRunning(fingerprint)) return;
    // A copy that reaches another VM before the first crash is judged is not covered.
    if (this.isInDoubt(fingerprint)) return;
    if (this.now < (this.downUntil.get(upstreamId) ?? 0)) return;
    const jobs = this.engines.get(upstreamId) ?? [];
    const job: Job = { vm, fingerprint, hasTokens: false };
    if (standing.kind === 'suspect') this.gate = job;
    jobs.push(job);
    if (fingerprint !== KILLER) return;
    this.kills += 1;
    this.engines.set(upstreamId, []);
    this.downUntil.set(upstreamId, this.now + RESTART_MS);
    for (const victim of jobs) {
      this.handle(victim.vm, { kind: 'broken', upstreamId, ...victim, now: this.now });
    }
  }

  progress(upstreamId: UpstreamId): void {
    for (const job of this.engines.get(upstreamId) ?? []) job.hasTokens = true;
  }

  finish(upstreamId: UpstreamId): void {
    const job = this.engines.get(upstreamId)?.shift();
    if (job === undefined) return;
    this.handle(job.vm, { kind: 'succeeded', fingerprint: job.fingerprint, now: this.now });
  }

  advance(by: number): void {
    this.now += by;
    for (const vm of this.vms.keys()) this.handle(vm, { kind: 'ticked', now: this.now });
  }
}

const step = fc.record({
  what: fc.constantFrom('innocent', 'innocent', 'innocent', 'killer', 'progress', 'finish', 'wait'),
  vm: fc.nat({ max: 1 }),
  content: fc.nat({ max: 9 }),
  engine: fc.constantFrom(...ENGINES),
});

it('quarantine: a killer stops after two crashes and no other content is refused', () => {
  fc.assert(
    fc.property(fc.array(step, { maxLength: 120, size: 'max' }), (steps) => {
      const world = new World();
      for (const { what, vm, content, engine } of steps) {
        if (what === 'killer') world.start(vm, KILLER, engine);
        if (what === 'innocent') world.start(vm, `c${content}` as Fingerprint, engine);
        if (what === 'progress') world.progress(engine);
        if (what === 'finish') world.finish(engine);
        if (what === 'wait') world.advance(150);
      }
      expect(world.kills).to.be.lessThan(3);
      for (const state of world.vms) {
        const refused = listQuarantined(state, world.now).map(({ fingerprint }) => fingerprint);
        expect(refused.filter((fingerprint) => fingerprint !== KILLER)).to.deep.equal([]);
      }
    }),
  );
});

it('quarantine: an order that broke off on a live engine blames nobody', () => {
  const state = makeQuarantineState();
  const upstreamId = 'e1' as UpstreamId;
  const broken = { kind: 'broken', upstreamId, fingerprint: KILLER, hasTokens: false } as const;
  handleQuarantineEvent(state, { ...broken, now: 0 });
  expect(findStanding(state, KILLER, 1).kind).to.equal('in-doubt');
  handleQuarantineEvent(state, { kind: 'probed', upstreamId, isAlive: true, now: 5 });
  handleQuarantineEvent(state, { kind: 'ticked', now: 400 });
  expect(findStanding(state, KILLER, 400).kind).to.equal('clear');
});

it('quarantine: it ends by itself and by release', () => {
  const state = makeQuarantineState();
  const record = {
    fingerprint: KILLER,
    crashes: 2,
    lastUpstream: 'e1' as UpstreamId,
    expiresAt: 9,
  };
  handleQuarantineEvent(state, { kind: 'heard', items: [record], now: 0 });
  expect(findStanding(state, KILLER, 8)).to.deep.equal({ kind: 'quarantined', expiresAt: 9 });
  expect(findStanding(state, KILLER, 9).kind).to.equal('clear');
  const actions = handleQuarantineEvent(state, { kind: 'released', fingerprint: KILLER, now: 1 });
  expect(actions.map(({ kind }) => kind)).to.deep.equal(['publish', 'remove']);
  expect(findStanding(state, KILLER, 2).kind).to.equal('clear');
});
