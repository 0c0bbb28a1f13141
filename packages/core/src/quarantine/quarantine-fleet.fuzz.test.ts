import { expect } from 'chai';
import fc from 'fast-check';
import type { Fingerprint, SuspectRecord, UpstreamId } from '@tarragonspool/protocol';
import {
  findContentStatus,
  handleQuarantineEvent,
  isAwaitingVerdict,
  listQuarantined,
  listSuspects,
  makeQuarantineState,
  type QuarantineEvent,
  type QuarantineState,
} from './quarantine.js';

const VMS = 3;
const SERVERS = 4;
const KILLERS = ['killer-0', 'killer-1'] as Fingerprint[];
const LOOKUPS = ['lookup-0', 'lookup-1', 'lookup-2'] as Fingerprint[];
const RESTART_MS = 2_500;
/** Time after which a crash is judged, told and judged with what was told. */
const SETTLED_MS = 600;
const TICK_MS = 100;
const MAX_CRASHES = 3;

/** VMs in touch have told each other of a crash, and judged it, within this time. */
const CONTACT_MS = 1_000;
/** Crashes after which VMs in touch must know a killer, and requests that they may still send then. */
const CERTAIN_CRASHES = 3;
const MAX_LATE_REQUESTS = 3;
/** VMs write again what a restored store has lost within this time. */
const REWRITE_MS = 3_000;

/** A run at a server, sent by a VM. */
type Run = { readonly vm: number; readonly content: Fingerprint };
/** A run that crashed its server. */
type Crash = { readonly at: number; readonly isInTouch: boolean; readonly isRetry: boolean };
type Server = { starts: number; upAt: number; runs: Run[] };

/** VMs that tell each other everything, servers that killers crash, and the rows that VMs read as they start. */
class Fleet {
  now = 0;

  readonly vms: QuarantineState[] = Array.from({ length: VMS }, makeQuarantineState);

  readonly servers: Server[] = Array.from({ length: SERVERS }, () => ({
    starts: 1,
    upAt: 0,
    runs: [],
  }));

  rows = new Map<Fingerprint, SuspectRecord>();

  readonly crashes = new Map<Fingerprint, Crash[]>();

  /** VMs that reach neither the store nor other VMs. */
  readonly cut = new Set<number>();

  private restoredAt = -Infinity;

  private hear(vm: number, items: readonly SuspectRecord[]): void {
    this.handle(vm, { kind: 'heard', items, now: this.now });
  }

  private tellPeers(vm: number, items: readonly SuspectRecord[]): void {
    if (this.cut.has(vm)) return;
    for (const other of this.vms.keys()) {
      if (other !== vm && !this.cut.has(other)) this.hear(other, items);
    }
  }

  private handle(vm: number, event: QuarantineEvent): void {
    for (const action of handleQuarantineEvent(this.vms[vm] as QuarantineState, event)) {
      switch (action.kind) {
        case 'probe': {
          const { upstreamId } = action;
          const server = this.servers[Number(upstreamId)];
          const isAlive = server !== undefined && server.upAt <= this.now;
          this.handle(vm, { kind: 'probed', upstreamId, isAlive, now: this.now });
          break;
        }
        case 'publish':
          this.tellPeers(vm, action.items);
          break;
        case 'store':
          if (!this.cut.has(vm)) this.rows.set(action.record.fingerprint, action.record);
          break;
        case 'remove':
          if (!this.cut.has(vm)) this.rows.delete(action.fingerprint);
          break;
        case 'vouch':
          this.tellPeers(vm, [action.record]);
          break;
        case 'crashed':
          break;
        default:
          action satisfies never;
      }
    }
  }

  /** Sends a content, and sends it once more after a crash, as a router does; a killer crashes the server. */
  send(vm: number, content: Fingerprint, at: number, mayRetry = true): void {
    const state = this.vms[vm] as QuarantineState;
    const status = findContentStatus(state, content, this.now);
    if (status.kind === 'quarantined' || (mayRetry && isAwaitingVerdict(state, content))) return;
    const up = [...this.servers.keys()].filter((id) => (this.servers[id]?.upAt ?? 0) <= this.now);
    const index = up[at % Math.max(1, up.length)];
    const server = index === undefined ? undefined : this.servers[index];
    if (index === undefined || server === undefined) return;
    server.runs.push({ vm, content });
    if (!KILLERS.includes(content)) return;
    const crash = { at: this.now, isInTouch: !this.cut.has(vm), isRetry: !mayRetry };
    this.crashes.set(content, [...(this.crashes.get(content) ?? []), crash]);
    const broken = server.runs;
    const upstreamId = String(index) as UpstreamId;
    const crashId = `${index}/${server.starts}`;
    Object.assign(server, { starts: server.starts + 1, upAt: this.now + RESTART_MS, runs: [] });
    for (const run of broken) {
      const { content: fingerprint } = run;
      const event = { kind: 'broken', upstreamId, crashId, fingerprint, hasTokens: false } as const;
      this.handle(run.vm, { ...event, now: this.now });
    }
    if (!mayRetry) return;
    for (const run of broken) this.send(run.vm, run.content, at + 1, false);
  }

  answerAll(index: number): void {
    const server = this.servers[index];
    for (const { vm, content } of server?.runs.splice(0) ?? []) {
      this.handle(vm, { kind: 'succeeded', fingerprint: content, now: this.now });
    }
  }

  /** A VM reads the rows, and its links open: each side tells the other of its suspects. */
  private join(vm: number): void {
    if (this.cut.has(vm)) return;
    this.hear(vm, [...this.rows.values()]);
    const own = listSuspects(this.vms[vm] as QuarantineState);
    for (const [other, state] of this.vms.entries()) {
      if (other === vm || this.cut.has(other)) continue;
      this.hear(vm, listSuspects(state));
      this.hear(other, own);
    }
  }

  /** A VM starts again, in touch: it has forgotten all, reads the rows and is told of suspects. */
  restart(vm: number): void {
    this.cut.delete(vm);
    this.vms[vm] = makeQuarantineState();
    for (const server of this.servers) server.runs = server.runs.filter((run) => run.vm !== vm);
    this.join(vm);
  }

  /** Cuts a VM off, or lets the one that is cut off in touch again; what only one VM knows may be lost with it. */
  toggleCut(vm: number): void {
    const [cutOff] = this.cut;
    this.cut.clear();
    if (cutOff === undefined) this.cut.add(vm);
    else this.join(cutOff);
  }

  /** The store comes back without the rows of refusals. */
  restoreStore(): void {
    this.rows = new Map();
    this.restoredAt = this.now;
  }

  /** VMs in touch write what the rows lack. */
  private writeRows(): void {
    for (const [vm, state] of this.vms.entries()) {
      if (this.cut.has(vm)) continue;
      for (const record of listQuarantined(state, this.now)) {
        this.rows.set(record.fingerprint, record);
      }
    }
  }

  wait(ms: number): void {
    for (let passed = 0; passed < ms; passed += TICK_MS) {
      this.now += TICK_MS;
      for (const vm of this.vms.keys()) this.handle(vm, { kind: 'ticked', now: this.now });
      if (this.now === this.restoredAt + REWRITE_MS) this.writeRows();
    }
  }

  /** Counts the requests of a killer that VMs in touch sent to servers long after its third crash. */
  countLate(killer: Fingerprint): number {
    const crashes = this.crashes.get(killer) ?? [];
    const third = crashes[CERTAIN_CRASHES - 1];
    if (third === undefined) return 0;
    const isLate = ({ at, isInTouch, isRetry }: Crash): boolean =>
      isInTouch && !isRetry && at > third.at + CONTACT_MS;
    return crashes.filter(isLate).length;
  }

  listRefused(): Set<Fingerprint> {
    const refused = new Set<Fingerprint>();
    for (const state of this.vms) {
      for (const { fingerprint } of listQuarantined(state, this.now)) refused.add(fingerprint);
    }
    return refused;
  }
}

const step = fc.record({
  what: fc.constantFrom('lookup', 'lookup', 'lookup', 'killer', 'answers', 'restart', 'wait'),
  vm: fc.nat({ max: VMS - 1 }),
  content: fc.nat({ max: 2 }),
  server: fc.nat({ max: SERVERS - 1 }),
});

// Guards against killers that crash more servers than are allowed, and against lookups that are refused in their place.
it('quarantine fleet: whatever runs beside killers, over restarts of VMs, they crash few servers and answered lookups are served', () => {
  fc.assert(
    fc.property(fc.array(step, { maxLength: 80, size: 'max' }), (steps) => {
      const fleet = new Fleet();
      for (const vm of fleet.vms.keys()) {
        for (const content of LOOKUPS) fleet.send(vm, content, vm);
      }
      for (const server of fleet.servers.keys()) fleet.answerAll(server);
      const isRestarted = steps.some(({ what }) => what === 'restart');
      for (const { what, vm, content, server } of steps) {
        if (what === 'lookup') fleet.send(vm, LOOKUPS[content] as Fingerprint, server);
        if (what === 'answers') fleet.answerAll(server);
        if (what === 'restart') fleet.restart(vm);
        if (what === 'wait') fleet.wait(SETTLED_MS);
        if (what === 'killer') {
          fleet.send(vm, KILLERS[content % KILLERS.length] as Fingerprint, server);
          fleet.wait(SETTLED_MS);
        }
      }
      for (const [killer, crashes] of fleet.crashes) {
        // The retry of a send whose content comes into doubt meanwhile is not held back.
        expect(crashes.length, killer).to.be.at.most(MAX_CRASHES + 1);
      }
      if (isRestarted) return;
      const refused = [...fleet.listRefused()].filter((content) => !KILLERS.includes(content));
      expect(refused).to.deep.equal([]);
    }),
  );
});

const outage = fc.record({
  what: fc.constantFrom(
    'lookup',
    'lookup',
    'killer',
    'answers',
    'cut',
    'restart',
    'restore',
    'wait',
  ),
  vm: fc.nat({ max: VMS - 1 }),
  content: fc.nat({ max: 2 }),
  server: fc.nat({ max: SERVERS - 1 }),
});

// Guards against killers that come to servers again and again after cuts, restarts and lost rows, and against lookups refused for them.
it('quarantine fleet: over cuts, restarts and a store that loses rows, VMs in touch keep known killers from servers', () => {
  fc.assert(
    fc.property(fc.array(outage, { maxLength: 100, size: 'max' }), (steps) => {
      const fleet = new Fleet();
      for (const vm of fleet.vms.keys()) {
        for (const content of LOOKUPS) fleet.send(vm, content, vm);
      }
      for (const server of fleet.servers.keys()) fleet.answerAll(server);
      for (const { what, vm, content, server } of steps) {
        if (what === 'lookup') fleet.send(vm, LOOKUPS[content] as Fingerprint, server);
        if (what === 'answers') fleet.answerAll(server);
        if (what === 'restart') fleet.restart(vm);
        if (what === 'cut') fleet.toggleCut(vm);
        if (what === 'restore') fleet.restoreStore();
        if (what === 'wait') fleet.wait(SETTLED_MS);
        if (what === 'killer') {
          fleet.send(vm, KILLERS[content % KILLERS.length] as Fingerprint, server);
          fleet.wait(SETTLED_MS);
        }
      }
      for (const killer of KILLERS) {
        expect(fleet.countLate(killer), killer).to.be.at.most(MAX_LATE_REQUESTS);
      }
      if (steps.some(({ what }) => what === 'restart')) return;
      const refused = [...fleet.listRefused()].filter((content) => !KILLERS.includes(content));
      expect(refused).to.deep.equal([]);
    }),
  );
});
