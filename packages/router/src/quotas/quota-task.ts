/**
 * The quotas of tenants at one VM: admits requests, reports to the keeper, and keeps the quotas while this
 * VM is the keeper. It is called at each event; nothing here waits.
 */

import {
  computeCost,
  isLimited,
  makeQuotaLimiter,
  makeQuotaKeeper,
  rankVms,
  type QuotaAdmission,
  type QuotaBounds,
  type QuotaVerdict,
  type RankedVm,
  type Tenant,
  type TenantDirectory,
  type TenantName,
  type TenantQuota,
} from '@tarragonspool/core';
import type { AliveMessage, QuotaMessage, ServiceName, VmId } from '@tarragonspool/protocol';
import type { Logger } from '../logging/logger.js';
import { makeOwnerSelector } from '../pools/owners.js';

/** Metrics of the quotas. */
export type QuotaMetrics = {
  readonly countRefused: () => void;
  readonly setBelowZero: (count: number) => void;
  readonly setOutOfContact: (isOut: boolean) => void;
};

/** Dependencies of the quotas. */
export type QuotaTaskParts = {
  readonly self: VmId;
  /** Identifies the start of this process. */
  readonly start: string;
  readonly getDirectory: () => TenantDirectory | undefined;
  readonly getBounds: () => QuotaBounds;
  /** Number of VMs that are listed, or assumed while the list is not known. */
  readonly countListedVms: () => number;
  /** Name of the ranking whose first VM keeps the quotas. */
  readonly getRanking: () => ServiceName;
  readonly sendTo: (to: VmId, message: QuotaMessage) => void;
  readonly broadcast: (message: QuotaMessage) => void;
  readonly takeFraction: () => number;
  readonly metrics: QuotaMetrics;
  readonly logger: Logger;
};

/** Sizes of a request, as its caller states them. */
export type RequestSize = {
  readonly requestId: string;
  readonly promptTokens: number | undefined;
  readonly maxOutputTokens: number | undefined;
};

/** The quotas of one VM. */
export type QuotaTask = {
  /** Whether any tenant has a limit. */
  readonly isInUse: () => boolean;
  readonly admit: (tenant: Tenant | undefined, size: RequestSize, now: number) => QuotaVerdict;
  readonly giveBack: (admission: QuotaAdmission, now: number) => void;
  readonly handleMessage: (from: VmId, message: QuotaMessage, now: number) => void;
  readonly handleAlive: (from: VmId, message: AliveMessage, now: number) => void;
  readonly addLink: (vmId: VmId, now: number) => void;
  readonly removeLink: (vmId: VmId) => void;
  readonly setMembers: (members: readonly RankedVm[]) => void;
  /** Records whether this VM knows less of the store than it should, leaves, or reaches no server. */
  readonly setUnfit: (isUnfit: boolean) => void;
  readonly tick: (now: number) => void;
  /** The keeper whose levels this VM uses; undefined while it uses its own share or none. */
  readonly findUsedKeeper: (now: number) => VmId | undefined;
};

/** Interval of the ticks while a tenant has a limit. */
export const QUOTA_TICK_MS = 100;
/** A longer gap between ticks means that messages of others wait to be read. */
const PAUSE_THRESHOLD_MS = 500;
/** Lines about refused requests in one second; further ones are counted. */
const MAX_LINES_PER_S = 20;
const MS_PER_S = 1_000;

function makeRefusalLog(logger: Logger): (fields: object, now: number) => void {
  let second = 0;
  let lines = 0;
  let leftOut = 0;
  return (fields, now) => {
    const current = Math.floor(now / MS_PER_S);
    if (current !== second) {
      second = current;
      lines = 0;
    }
    lines += 1;
    if (lines > MAX_LINES_PER_S) {
      leftOut += 1;
      return;
    }
    logger.info({ ...fields, leftOut }, 'quotas: request refused');
    leftOut = 0;
  };
}

/** Orders the listed VMs for each tenant differently, so that none is always the last. */
function makePhases(self: VmId): {
  setMembers: (members: readonly RankedVm[]) => void;
  getPhase: (tenant: TenantName) => number;
} {
  let members: readonly RankedVm[] = [];
  const phases = new Map<TenantName, number>();
  return {
    setMembers: (listed) => {
      members = listed.map(({ vmId }) => ({ vmId, capacity: 0 }));
      phases.clear();
    },
    getPhase: (tenant) => {
      const known = phases.get(tenant);
      if (known !== undefined) return known;
      const place = rankVms(members, `quota/${tenant}`).indexOf(self);
      const phase = place < 0 ? 1 : (place + 0.5) / members.length;
      phases.set(tenant, phase);
      return phase;
    },
  };
}

/** Makes the quotas of a VM that knows only itself. */
export function makeQuotaTask(parts: QuotaTaskParts, startedAt: number): QuotaTask {
  const { self, start, getDirectory, getBounds, countListedVms, metrics, logger } = parts;
  const selector = makeOwnerSelector(self);
  const phases = makePhases(self);
  const logRefusal = makeRefusalLog(logger);
  let known: TenantDirectory | undefined;
  let hasLimits = false;
  let keeperId: VmId | undefined;
  let wasInContact: boolean | undefined;
  let tickedAt = startedAt;
  const links = new Set<VmId>();
  let heardAt = startedAt;

  const findQuota = (tenant: TenantName): TenantQuota | undefined =>
    getDirectory()?.tenants.get(tenant)?.quota;
  const chooseKeeper = (now: number): VmId => selector.chooseOwner(parts.getRanking(), now);
  const limiter = makeQuotaLimiter(
    {
      start,
      findQuota,
      getBounds,
      countListedVms,
      getPhase: phases.getPhase,
      takeFraction: parts.takeFraction,
    },
    startedAt,
  );
  const keeper = makeQuotaKeeper({
    start,
    findQuota,
    getBounds,
    countListedVms,
    getHeardAt: () => (links.size === 0 ? undefined : heardAt),
    measureHeardShare: (now) => Math.min(1, selector.countAlive(now) / countListedVms()),
    isChosen: (now) => chooseKeeper(now) === self,
  });

  function recordHeard(from: VmId, now: number): void {
    selector.recordMessage(from, now);
    heardAt = now;
  }

  function isInUse(): boolean {
    const directory = getDirectory();
    if (directory !== known) {
      known = directory;
      hasLimits = [...(directory?.tenants.values() ?? [])].some(isLimited);
    }
    return hasLimits;
  }

  function handleMessage(from: VmId, message: QuotaMessage, now: number): void {
    if (message.kind === 'quota-levels') {
      limiter.handleLevels(from, message, now);
      return;
    }
    const answer = keeper.handleUse(from, message, now);
    if (answer === undefined) return;
    if (from === self) limiter.handleLevels(self, answer, now);
    else parts.sendTo(from, answer);
  }

  function updateKeeper(now: number): VmId {
    const next = chooseKeeper(now);
    if (next !== keeperId) {
      logger.info({ keeper: next, before: keeperId }, 'quotas: keeper changed');
      keeperId = next;
    }
    limiter.setKeeper(next, now);
    return next;
  }

  function report(now: number): void {
    const to = updateKeeper(now);
    const message = limiter.takeReport(now);
    if (message === undefined) return;
    if (to === self) handleMessage(self, message, now);
    else parts.sendTo(to, message);
  }

  function recordContact(now: number): void {
    const isIn = limiter.isInContact(now);
    metrics.setOutOfContact(!isIn);
    metrics.setBelowZero(keeper.countBelowZero());
    if (isIn === wasInContact) return;
    wasInContact = isIn;
    logger.info({ keeper: keeperId, isInContact: isIn }, 'quotas: contact with the keeper changed');
  }

  return {
    isInUse,
    admit: (tenant, { requestId, promptTokens, maxOutputTokens }, now) => {
      const quota = tenant?.quota;
      const cost = quota === undefined ? 0 : computeCost(quota, promptTokens, maxOutputTokens);
      const verdict = limiter.admit(tenant, cost, now);
      if (quota === undefined) return verdict;
      if (verdict.kind === 'refused') {
        metrics.countRefused();
        const { retryAt, level } = verdict;
        const retryAfterMs = Math.round(retryAt - now);
        const isInContact = limiter.isInContact(now);
        logRefusal(
          {
            requestId,
            tenant: tenant?.name,
            cost,
            level: Math.round(level),
            retryAfterMs,
            isInContact,
          },
          now,
        );
      }
      report(now);
      return verdict;
    },
    giveBack: limiter.giveBack,
    handleMessage: (from, message, now) => {
      recordHeard(from, now);
      handleMessage(from, message, now);
    },
    handleAlive: (from, message, now) => {
      const { isStoreAway, isLeaving, isCutOff, quotaKeeper } = message;
      recordHeard(from, now);
      selector.recordUnfit(from, isStoreAway || isLeaving || isCutOff);
      if (!isInUse()) return;
      // An isolated keeper announces that it uses no keeper, itself included.
      if (quotaKeeper === from) limiter.recordHeard(from, now);
      keeper.recordUser(from, quotaKeeper === self, now);
    },
    addLink: (vmId, now) => {
      links.add(vmId);
      heardAt = now;
      selector.addLink(vmId, now);
    },
    removeLink: (vmId) => {
      links.delete(vmId);
      selector.removeLink(vmId);
    },
    setMembers: (members) => {
      selector.setMembers(members);
      phases.setMembers(members);
    },
    setUnfit: (isUnfit) => selector.recordUnfit(self, isUnfit),
    tick: (now) => {
      const pauseMs = now - tickedAt;
      tickedAt = now;
      if (!isInUse()) return;
      if (pauseMs > PAUSE_THRESHOLD_MS) {
        selector.resetTimeouts(now);
        heardAt = now;
      }
      report(now);
      limiter.recordHeard(self, now);
      keeper.recordUser(self, limiter.findUsedKeeper(now) === self, now);
      const update = keeper.tick(now);
      if (update !== undefined) {
        limiter.handleLevels(self, update, now);
        parts.broadcast(update);
      }
      recordContact(now);
    },
    findUsedKeeper: (now) => {
      const used = isInUse() ? limiter.findUsedKeeper(now) : undefined;
      return used === self && keeper.isIsolated(now) ? undefined : used;
    },
  };
}
