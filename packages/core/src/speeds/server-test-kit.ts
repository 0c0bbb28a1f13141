/** Simulation of VMs, servers of a plain service and the VM that sums reports, for tests without a network. */

import type {
  DataCentre,
  ServiceName,
  ServiceSummary,
  SoftwareVersion,
  UpstreamId,
  VmId,
} from '@tarragonspool/protocol';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { UpstreamRecord } from '../routing/routing-types.js';
import {
  chooseServer,
  getOrAddServerLoad,
  recordAnswerTime,
  recordOutcome,
  type ServerLoads,
} from '../routing/server-choice.js';
import { judgeCall, MAX_FULL_SERVERS, SUMMARY_LIFE_MS } from './call-room.js';
import { buildSummary, makeLoadSums, recordReport, stepSums, type LoadSums } from './load-sums.js';
import {
  countInFlight,
  recordArrival,
  recordEnded,
  recordSent,
  recordWait,
  takeReport,
  type OwnLoad,
} from './own-load.js';
import { isLightlyLoaded } from './service-room.js';
import { chooseSharedServer } from './shared-choice.js';

const SERVICE = 'ledger' as ServiceName;
const LINK_MS = 3;
const INTERVAL_MS = 100;
const LIGHT_MS = 150;
const FULL_AVOID_MS = 150;
const MAX_SENDS = 4;

/** A server of the simulation. */
export type SimulatedServer = {
  readonly name: string;
  readonly dataCentre?: string;
  readonly slots?: number;
  readonly queue?: number;
  /** Speed at a time with some requests running; 1 if absent. */
  readonly speed?: (now: number, running: number) => number;
};

/** What a simulation is run with. */
export type SimulationParts = {
  readonly servers: readonly SimulatedServer[];
  readonly vms: number;
  readonly forMs: number;
  /** Calls per second of each tenant at a time. */
  readonly tenants: Readonly<Record<string, (now: number) => number>>;
  readonly targetMs: number;
  readonly deadlineMs: number;
  /** Data centres of the VMs, in turn. */
  readonly dataCentres?: readonly string[];
  /** Whether a VM sums at a time; otherwise none does. */
  readonly isSummed?: (now: number) => boolean;
  /** Times at which another VM begins to sum, which knows nothing. */
  readonly hubChangesAt?: readonly number[];
  readonly seed?: number;
};

/** How one call ended. */
export type CallEnd = {
  readonly tenant: string;
  readonly arrivedAt: number;
  readonly endedAt: number;
  readonly kind: 'answered' | 'refused' | 'timed-out';
  readonly sends: number;
  readonly server: string | undefined;
};

/** What came of a simulation. */
export type SimulationEnd = {
  readonly calls: readonly CallEnd[];
  readonly summaries: readonly { readonly at: number; readonly summary: ServiceSummary }[];
};

type Call = {
  readonly tenant: string;
  readonly arrivedAt: number;
  readonly workMs: number;
  readonly vm: Vm;
  readonly tried: Set<UpstreamId>;
  sends: number;
  wait: { readonly isLate: boolean; readonly until: number } | undefined;
};

type Vm = {
  readonly vmId: VmId;
  readonly dataCentre: DataCentre;
  readonly own: OwnLoad;
  readonly loads: ServerLoads;
  readonly waiting: Set<Call>;
  readonly inFlightAt: Map<UpstreamId, number>;
  summary: ServiceSummary | undefined;
  readAt: number;
};

type Server = {
  readonly record: UpstreamRecord;
  readonly parts: SimulatedServer;
  readonly waiting: (() => void)[];
  running: number;
};

type Event = { readonly at: number; readonly order: number; readonly run: () => void };

/** Makes a source of random numbers in [0, 1). */
export function makeFractions(seed: number): () => number {
  const generator = xoroshiro128plus(seed);
  return () => uniformFloat64(generator);
}

function makeServer(parts: SimulatedServer): Server {
  const { name, dataCentre = 'dc-1', slots = 6 } = parts;
  const record: UpstreamRecord = {
    upstreamId: name as UpstreamId,
    service: SERVICE,
    address: '127.0.0.1:1',
    dataCentre: dataCentre as DataCentre,
    slots,
    isLeaving: false,
    stage: undefined,
    incarnation: 1,
    orderCount: 0,
    softwareVersion: 'v1' as SoftwareVersion,
  };
  return { record, parts, waiting: [], running: 0 };
}

/** Runs a simulation. */
export function runSimulation(simulation: SimulationParts): SimulationEnd {
  const { forMs, targetMs, deadlineMs, dataCentres = ['dc-1'] } = simulation;
  const takeFraction = makeFractions(simulation.seed ?? 1);
  const events: Event[] = [];
  let now = 0;
  let eventCount = 0;
  const calls: CallEnd[] = [];
  const summaries: { at: number; summary: ServiceSummary }[] = [];
  const servers = new Map(
    simulation.servers.map((parts) => [parts.name as UpstreamId, makeServer(parts)]),
  );
  const records = [...servers.values()].map(({ record }) => record);
  let sums: LoadSums = makeLoadSums(0);
  /** Decides where a call goes; set below, as a refused call is decided again. */
  const steps: { decide: (call: Call) => void } = { decide: () => undefined };
  const vms = Array.from({ length: simulation.vms }, (_, index): Vm => {
    const dataCentre = (dataCentres[index % dataCentres.length] ?? 'dc-1') as DataCentre;
    return {
      vmId: `vm-${index}` as VmId,
      dataCentre,
      own: new Map(),
      loads: new Map(),
      waiting: new Set(),
      inFlightAt: new Map(),
      summary: undefined,
      readAt: -Infinity,
    };
  });

  function schedule(afterMs: number, run: () => void): void {
    eventCount += 1;
    const event = { at: now + afterMs, order: eventCount, run };
    let index = events.length;
    events.push(event);
    while (index > 0) {
      const parent = Math.floor((index - 1) / 2);
      const above = events[parent];
      if (above === undefined || above.at <= event.at) break;
      events[index] = above;
      index = parent;
    }
    events[index] = event;
  }

  function takeEvent(): Event | undefined {
    const [first] = events;
    const last = events.pop();
    if (first === undefined || last === undefined || events.length === 0) return first;
    let index = 0;
    for (;;) {
      let child = 2 * index + 1;
      const [left, right] = [events[child], events[child + 1]];
      if (left === undefined) break;
      const isRightFirst = right !== undefined && right.at < left.at;
      if (isRightFirst) child += 1;
      const least = isRightFirst ? right : left;
      if (least.at >= last.at) break;
      events[index] = least;
      index = child;
    }
    events[index] = last;
    return first;
  }

  function findFresh(vm: Vm): ServiceSummary | undefined {
    return now - vm.readAt <= SUMMARY_LIFE_MS ? vm.summary : undefined;
  }

  function endCall(call: Call, kind: CallEnd['kind'], server?: string): void {
    const { tenant, arrivedAt, sends } = call;
    calls.push({ tenant, arrivedAt, endedAt: now, kind, sends, server });
  }

  function startNext(server: Server): void {
    const { slots = 6 } = server.parts;
    while (server.running < slots) {
      const next = server.waiting.shift();
      if (next === undefined) return;
      server.running += 1;
      next();
    }
  }

  function handleAnswer(call: Call, upstreamId: UpstreamId, sentAt: number): void {
    const { vm } = call;
    recordEnded(vm.own, SERVICE, upstreamId, { outcome: 'answered', sentAt, now });
    const load = getOrAddServerLoad(vm.loads, upstreamId);
    load.inFlight -= 1;
    recordOutcome(load, false, now);
    recordAnswerTime(load, now - sentAt);
    endCall(call, now > call.arrivedAt + deadlineMs ? 'timed-out' : 'answered', upstreamId);
  }

  function handleRefusal(call: Call, upstreamId: UpstreamId, sentAt: number): void {
    const { vm } = call;
    recordEnded(vm.own, SERVICE, upstreamId, { outcome: 'refused', sentAt, now });
    const load = getOrAddServerLoad(vm.loads, upstreamId);
    load.inFlight -= 1;
    load.avoidUntil = now + FULL_AVOID_MS;
    const most = findFresh(vm) === undefined ? MAX_SENDS : MAX_FULL_SERVERS;
    if (call.sends >= most) endCall(call, 'refused');
    else steps.decide(call);
  }

  function send(call: Call, { upstreamId }: UpstreamRecord): void {
    const { vm } = call;
    call.sends += 1;
    call.tried.add(upstreamId);
    getOrAddServerLoad(vm.loads, upstreamId).inFlight += 1;
    recordSent(vm.own, SERVICE, upstreamId, now);
    const sentAt = now;
    schedule(LINK_MS, () => {
      const server = servers.get(upstreamId);
      if (server === undefined) return;
      const { queue = 24, slots = 6, speed = () => 1 } = server.parts;
      if (server.running >= slots && server.waiting.length >= queue) {
        schedule(LINK_MS, () => handleRefusal(call, upstreamId, sentAt));
        return;
      }
      server.waiting.push(() => {
        schedule(call.workMs / speed(now, server.running), () => {
          server.running -= 1;
          startNext(server);
          schedule(LINK_MS, () => handleAnswer(call, upstreamId, sentAt));
        });
      });
      startNext(server);
    });
  }

  function choose(call: Call, summary: ServiceSummary | undefined): UpstreamRecord | undefined {
    const { vm, tried } = call;
    const { loads, dataCentre } = vm;
    const common = { servers: records, loads, dataCentre, takeFraction, now };
    const chooseFrom = (excluded: ReadonlySet<UpstreamId>): UpstreamRecord | undefined =>
      summary === undefined
        ? chooseServer({ ...common, excluded })
        : chooseSharedServer({
            ...common,
            excluded,
            summary: summary.servers,
            countSentSince: (upstreamId) =>
              countInFlight(vm.own, SERVICE, upstreamId) - (vm.inFlightAt.get(upstreamId) ?? 0),
          });
    return chooseFrom(tried) ?? chooseFrom(new Set());
  }

  function stopWait(call: Call): void {
    if (call.wait === undefined) return;
    recordWait(call.vm.own, SERVICE, call.wait.isLate ? 'waitingLate' : 'waiting', -1);
    call.wait = undefined;
    call.vm.waiting.delete(call);
  }

  function decide(call: Call): void {
    stopWait(call);
    const { vm, tenant, arrivedAt } = call;
    const summary = findFresh(vm);
    const server = choose(call, summary);
    if (server === undefined) throw new Error('the simulation has no servers');
    if (summary !== undefined) {
      const known = summary.servers.find(({ upstreamId }) => upstreamId === server.upstreamId);
      const times = { tenant, aimAt: arrivedAt + targetMs, deadlineAt: arrivedAt + deadlineMs };
      const answerMs = known?.answerMs ?? 0;
      const verdict = judgeCall(summary, { ...times, answerMs, fraction: takeFraction(), now });
      if (verdict.kind === 'refuse') {
        endCall(call, 'refused');
        return;
      }
      if (verdict.kind === 'wait') {
        call.wait = verdict;
        vm.waiting.add(call);
        recordWait(vm.own, SERVICE, verdict.isLate ? 'waitingLate' : 'waiting', 1);
        schedule(Math.max(0, verdict.until - now) + 0.01, () => {
          if (call.wait === verdict) decide(call);
        });
        return;
      }
    }
    send(call, server);
  }

  steps.decide = decide;
  let sentAt = -Infinity;

  function forgetSums(): void {
    sums = makeLoadSums(now);
  }

  function readSummary(vm: Vm, summary: ServiceSummary): void {
    vm.summary = summary;
    vm.readAt = now;
    vm.inFlightAt.clear();
    for (const { upstreamId } of records) {
      vm.inFlightAt.set(upstreamId, countInFlight(vm.own, SERVICE, upstreamId));
    }
    for (const call of [...vm.waiting]) decide(call);
  }

  function stepHub(): void {
    const isSummed = simulation.isSummed?.(now) ?? true;
    if (isSummed && stepSums(sums, now)) {
      const listed = records.map(({ upstreamId, slots }) => ({ upstreamId, slots }));
      const summary = buildSummary(sums, SERVICE, listed);
      const isDue = summary !== undefined && !(isLightlyLoaded(summary) && now - sentAt < LIGHT_MS);
      if (isDue) {
        sentAt = now;
        summaries.push({ at: now, summary });
        for (const vm of vms) schedule(LINK_MS, () => readSummary(vm, summary));
      }
    }
    schedule(INTERVAL_MS, stepHub);
  }

  function report(vm: Vm): void {
    const items = takeReport(vm.own, now);
    if (items.length > 0) {
      schedule(LINK_MS, () => {
        if (simulation.isSummed?.(now) ?? true) recordReport(sums, vm.vmId, items, now);
      });
    }
    schedule(INTERVAL_MS, () => report(vm));
  }

  function arrive(tenant: string, perS: (at: number) => number): void {
    const vm = vms[Math.floor(takeFraction() * vms.length)];
    const rate = perS(now);
    if (vm !== undefined && rate > 0) {
      const call: Call = {
        tenant,
        arrivedAt: now,
        workMs: 21 + 36 * takeFraction(),
        vm,
        tried: new Set(),
        sends: 0,
        wait: undefined,
      };
      recordArrival(vm.own, SERVICE, tenant);
      decide(call);
    }
    const nextMs = rate > 0 ? (-Math.log(1 - takeFraction()) * 1_000) / rate : 20;
    if (now + nextMs < forMs) schedule(nextMs, () => arrive(tenant, perS));
  }

  for (const vm of vms) schedule(takeFraction() * INTERVAL_MS, () => report(vm));
  for (const [tenant, perS] of Object.entries(simulation.tenants)) {
    schedule(takeFraction() * 20, () => arrive(tenant, perS));
  }
  for (const at of simulation.hubChangesAt ?? []) {
    schedule(at, forgetSums);
  }
  schedule(takeFraction() * INTERVAL_MS, stepHub);
  for (;;) {
    const event = takeEvent();
    if (event === undefined || event.at > forMs + 4_000) break;
    now = event.at;
    event.run();
  }
  return { calls, summaries };
}
