/** Plays the quotas of a fleet without a network: VMs, their links, faults and the requests of one tenant. */

import {
  makeRandom,
  rankVms,
  takeFraction as takeRandomFraction,
  type QuotaAdmission,
  type QuotaBounds,
  type Tenant,
  type TenantDirectory,
  type TenantName,
} from '@tarragonspool/core';
import type { AliveMessage, QuotaMessage, ServiceName, VmId } from '@tarragonspool/protocol';
import { pino } from 'pino';
import { makeQuotaTask, QUOTA_TICK_MS, type QuotaTask } from './quota-task.js';

/** What happens to a VM for some time. */
export type Fault = {
  readonly kind:
    | 'killed'
    | 'frozen'
    /** No message to or from any other VM; its links stay open. */
    | 'cut'
    /** The same in one direction. */
    | 'deaf'
    | 'mute'
    /** Part of the messages from and to it are lost, late or repeated. */
    | 'lossy'
    | 'late'
    | 'repeating'
    /** Knows less of the store than it should. */
    | 'unfit';
  /** First VM, by its place in the ranking: the VM at 0 is the keeper while there are no faults. */
  readonly vm: number;
  /** Number of VMs from there on. */
  readonly count: number;
  readonly from: number;
  readonly until: number;
};

/** One play. */
export type QuotaPlay = {
  readonly vmCount: number;
  readonly ratePerSecond: number;
  readonly burst: number;
  /** Cost that is asked for, as multiples of the rate, in equal parts of the play. */
  readonly demands: readonly number[];
  /** VM that gets all requests; undefined if they are spread over all. */
  readonly onlyVm?: number | undefined;
  readonly forMs: number;
  readonly faults: readonly Fault[];
  /** Part of the admitted requests that are refused later without having run. */
  readonly refusedLater: number;
  readonly seed: number;
  /** Whether refused callers come back after their Retry-After. */
  readonly comesBack: boolean;
};

/** One request that was admitted and ran. */
export type Run = { readonly at: number; readonly cost: number };

/** What a play gave. */
export type QuotaOutcome = {
  readonly runs: readonly Run[];
  readonly asked: number;
  readonly refused: number;
  /** Refused requests with the time. */
  readonly refusals: readonly number[];
  readonly messages: number;
  /** Callers that came back after their Retry-After, and those of them that were admitted. */
  readonly returned: number;
  readonly returnedAdmitted: number;
};

/** Bounds of the first deployment. */
export const BOUNDS: QuotaBounds = { windowMs: 8_000, overage: 0.1, slack: 120_000 };

const STEP_MS = 5;
const HUB_COUNT = 4;
const ALIVE_MS = 200;
const IDLE_ALIVE_MS = 400;
const RANKING = 'llm' as ServiceName;
const LEAST_COST = 5_000;
const MAX_COST = 10_000;
const MAX_LATE_MS = 900;
const LOST_PART = 0.4;
const MAX_WAIT_MS = 2_500;
const logger = pino({ level: 'silent' });

type Envelope = { from: number; to: number; message: QuotaMessage | AliveMessage; life: number };

function buildTenant({ ratePerSecond, burst }: QuotaPlay): Tenant {
  const quota = { ratePerSecond, burst, unit: 'token', plainTokens: MAX_COST } as const;
  return { name: 'tenant' as TenantName, priority: undefined, quota };
}

type PlayVm = {
  readonly vmId: VmId;
  readonly index: number;
  task: QuotaTask;
  life: number;
  isRunning: boolean;
  tickAt: number;
  aliveAt: number;
  inbox: Envelope[];
};

/** Plays the quotas of a fleet. */
export function runPlay(play: QuotaPlay): QuotaOutcome {
  const { vmCount, faults, forMs } = play;
  const random = makeRandom(play.seed);
  const takeFraction = (): number => takeRandomFraction(random);
  const tenant = buildTenant(play);
  const directory: TenantDirectory = {
    tenants: new Map([[tenant.name, tenant]]),
    byKey: new Map(),
  };
  const vmIds = Array.from({ length: vmCount }, (_, index) => `vm-${index}` as VmId);
  const listed = vmIds.map((vmId) => ({ vmId, capacity: 1 }));
  const members = rankVms(listed, RANKING).map((vmId) => ({ vmId, capacity: 1 }));
  const hubs = new Set(members.slice(0, HUB_COUNT).map(({ vmId }) => vmId));
  const vms: PlayVm[] = [];
  const onTheWay = new Map<number, Envelope[]>();
  const events = new Map<number, (() => void)[]>();
  const runs: Run[] = [];
  const refusals: number[] = [];
  const counts = { asked: 0, refused: 0, messages: 0, returned: 0, returnedAdmitted: 0 };
  let now = 0;

  const hasFault = (vm: number, ...kinds: Fault['kind'][]): boolean =>
    faults.some(
      (fault) =>
        (vm - (fault.vm % vmCount) + vmCount) % vmCount < fault.count &&
        kinds.includes(fault.kind) &&
        fault.from <= now &&
        now < fault.until,
    );
  const isLinked = (a: PlayVm, b: PlayVm): boolean =>
    a !== b && a.isRunning && b.isRunning && (hubs.has(a.vmId) || hubs.has(b.vmId));

  function schedule<T>(queue: Map<number, T[]>, at: number, item: T): void {
    const step = Math.ceil(Math.max(at, now + 1) / STEP_MS);
    const items = queue.get(step);
    if (items === undefined) queue.set(step, [item]);
    else items.push(item);
  }

  function post(from: PlayVm, to: PlayVm, message: QuotaMessage | AliveMessage): void {
    if (!isLinked(from, to)) return;
    if (message.kind !== 'alive') counts.messages += 1;
    const isLossy = hasFault(from.index, 'lossy') || hasFault(to.index, 'lossy');
    if (isLossy && takeFraction() < LOST_PART) return;
    if (hasFault(from.index, 'cut', 'mute') || hasFault(to.index, 'cut', 'deaf')) return;
    const isLate = hasFault(from.index, 'late') || hasFault(to.index, 'late');
    const isRepeated = hasFault(from.index, 'repeating') || hasFault(to.index, 'repeating');
    const envelope = { from: from.index, to: to.index, message, life: to.life };
    const delayMs = isLate ? takeFraction() * MAX_LATE_MS : 2;
    schedule(onTheWay, now + delayMs, envelope);
    if (isRepeated) schedule(onTheWay, now + delayMs + takeFraction() * MAX_LATE_MS, envelope);
  }

  function makeTask(index: number, life: number): QuotaTask {
    const { vmId: self } = members[index]!;
    const task = makeQuotaTask(
      {
        self,
        start: `${self}-${life}`,
        getDirectory: () => directory,
        getBounds: () => BOUNDS,
        countListedVms: () => vmCount,
        getRanking: () => RANKING,
        sendTo: (to, message) =>
          post(
            vms[index]!,
            vms.find(({ vmId }) => vmId === to)!,
            message,
          ),
        broadcast: (message) => {
          for (const other of vms) post(vms[index]!, other, message);
        },
        takeFraction,
        metrics: {
          countRefused: () => undefined,
          setBelowZero: () => undefined,
          setOutOfContact: () => undefined,
        },
        logger,
      },
      now,
    );
    task.setMembers(members);
    return task;
  }

  function setRunning(vm: PlayVm, isRunning: boolean): void {
    if (vm.isRunning === isRunning) return;
    if (!isRunning) {
      for (const other of vms) if (isLinked(vm, other)) other.task.removeLink(vm.vmId);
      vm.isRunning = false;
      return;
    }
    vm.life += 1;
    vm.inbox = [];
    vm.isRunning = true;
    vm.task = makeTask(vm.index, vm.life);
    for (const other of vms) {
      if (!isLinked(vm, other)) continue;
      other.task.addLink(vm.vmId, now);
      vm.task.addLink(other.vmId, now);
    }
  }

  function handle(vm: PlayVm, { from, message }: Envelope): void {
    const { vmId } = vms[from]!;
    if (message.kind === 'alive') vm.task.handleAlive(vmId, message, now);
    else vm.task.handleMessage(vmId, message, now);
  }

  function tellAlive(vm: PlayVm): void {
    const message: AliveMessage = {
      kind: 'alive',
      isStoreAway: hasFault(vm.index, 'unfit'),
      isReading: true,
      isLeaving: false,
      isCutOff: false,
      lostServers: [],
      positions: [],
      quotaKeeper: vm.task.findUsedKeeper(now),
    };
    vm.task.setUnfit(message.isStoreAway);
    for (const other of vms) post(vm, other, message);
  }

  function giveBackLater(vm: PlayVm, admission: QuotaAdmission, run: Run): void {
    const { life } = vm;
    schedule(events, now + takeFraction() * MAX_WAIT_MS, () => {
      if (vm.life !== life || !vm.isRunning) {
        // A request of a process that was killed may have run.
        runs.push(run);
        return;
      }
      if (hasFault(vm.index, 'frozen')) giveBackLater(vm, admission, run);
      else vm.task.giveBack(admission, now);
    });
  }

  function ask(vm: PlayVm, cost: number, isReturn: boolean): void {
    if (!vm.isRunning) return;
    if (hasFault(vm.index, 'frozen')) {
      // What arrives at a frozen process is read when it runs again.
      schedule(events, now + STEP_MS, () => ask(vm, cost, isReturn));
      return;
    }
    if (isReturn) counts.returned += 1;
    counts.asked += cost;
    const size = { requestId: 'r', promptTokens: cost, maxOutputTokens: 0 };
    const verdict = vm.task.admit(tenant, size, now);
    if (verdict.kind === 'admitted') {
      if (isReturn) counts.returnedAdmitted += 1;
      const run = { at: now, cost };
      if (takeFraction() < play.refusedLater) giveBackLater(vm, verdict, run);
      else runs.push(run);
      return;
    }
    counts.refused += cost;
    refusals.push(now);
    if (!play.comesBack || isReturn) return;
    schedule(events, verdict.retryAt, () => ask(vm, cost, true));
  }

  for (let index = 0; index < vmCount; index += 1) {
    const { vmId } = members[index]!;
    const tickAt = takeFraction() * QUOTA_TICK_MS;
    const aliveAt = takeFraction() * ALIVE_MS;
    const task = undefined as unknown as QuotaTask;
    vms.push({ vmId, index, task, life: 0, isRunning: false, tickAt, aliveAt, inbox: [] });
  }
  for (const vm of vms) setRunning(vm, true);

  let nextAskAt = 0;
  for (let step = 0; step * STEP_MS < forMs; step += 1) {
    now = step * STEP_MS;
    for (const vm of vms) setRunning(vm, !hasFault(vm.index, 'killed'));
    for (const envelope of onTheWay.get(step) ?? []) {
      const to = vms[envelope.to]!;
      if (to.isRunning && to.life === envelope.life) to.inbox.push(envelope);
    }
    onTheWay.delete(step);
    for (const vm of vms) {
      if (!vm.isRunning || hasFault(vm.index, 'frozen')) continue;
      if (vm.tickAt <= now) {
        vm.tickAt = now + QUOTA_TICK_MS;
        vm.task.tick(now);
      }
      for (const envelope of vm.inbox.splice(0)) handle(vm, envelope);
      if (vm.aliveAt <= now) {
        vm.aliveAt = now + (hubs.has(vm.vmId) ? ALIVE_MS : IDLE_ALIVE_MS);
        tellAlive(vm);
      }
    }
    for (const event of events.get(step) ?? []) event();
    events.delete(step);
    while (nextAskAt <= now) {
      const part = Math.floor((now / forMs) * play.demands.length);
      const demand = play.demands[part] ?? 0;
      const cost = Math.round(LEAST_COST + takeFraction() * (MAX_COST - LEAST_COST));
      if (demand <= 0) {
        nextAskAt = now + QUOTA_TICK_MS;
        break;
      }
      const meanMs = (cost / (demand * play.ratePerSecond)) * 1_000;
      nextAskAt += -Math.log(1 - takeFraction()) * meanMs;
      const vm = vms[play.onlyVm ?? Math.floor(takeFraction() * vmCount)]!;
      ask(vm, cost, false);
    }
  }
  runs.sort((a, b) => a.at - b.at);
  return { runs, refusals, ...counts };
}

/** Returns the greatest cost of the runs in any window. */
export function measureWorstWindow(runs: readonly Run[], windowMs = BOUNDS.windowMs): number {
  let first = 0;
  let sum = 0;
  let worst = 0;
  for (const { at, cost } of runs) {
    sum += cost;
    while (runs[first]!.at <= at - windowMs) {
      sum -= runs[first]!.cost;
      first += 1;
    }
    worst = Math.max(worst, sum);
  }
  return worst;
}

/** Returns what the tenant of a play may use in any window. */
export function computeBound({ ratePerSecond, burst }: QuotaPlay): number {
  const { windowMs, overage, slack } = BOUNDS;
  return ((ratePerSecond * windowMs) / 1_000 + burst) * (1 + overage) + slack;
}

/** Sums the cost of the runs from a time on. */
export function measureCost(runs: readonly Run[], from = 0): number {
  return runs.reduce((sum, { at, cost }) => (at >= from ? sum + cost : sum), 0);
}
