/** Admission of requests at one VM, from the levels of its keeper and from its own share without contact. */

import type {
  QuotaLevelItem,
  QuotaLevelsMessage,
  QuotaUseItem,
  QuotaUseMessage,
  VmId,
} from '@tarragonspool/protocol';
import type { Tenant, TenantName, TenantQuota } from '../tenants/index.js';
import {
  applyLevel,
  buildUseItem,
  estimateLevel,
  isNearEmpty,
  isOwnShareEven,
  makeQuotaAccount,
  recordAsked,
  takeFromLevel,
  takeFromOwnShare,
  type ContactLoss,
  type QuotaAccount,
} from './quota-account.js';
import { computeQuotaShape, isLimited, type QuotaBounds } from './quota-shape.js';

/** A request that was admitted, to give its cost back if it does not run. */
export type QuotaAdmission = {
  readonly kind: 'admitted';
  readonly tenant: TenantName | undefined;
  readonly cost: number;
  /** Loss of contact from whose own share the cost was taken; 0 if it was taken from the level. */
  readonly lossCount: number;
};

/** Whether a request may be served. */
export type QuotaVerdict =
  QuotaAdmission | { readonly kind: 'refused'; readonly retryAt: number; readonly level: number };

/** Dependencies of the limiter. */
export type QuotaLimiterParts = {
  /** Identifies the start of this process. */
  readonly start: string;
  readonly findQuota: (tenant: TenantName) => TenantQuota | undefined;
  readonly getBounds: () => QuotaBounds;
  readonly countListedVms: () => number;
  /** Place of this VM among the listed ones for a tenant, from 0 to 1. */
  readonly getPhase: (tenant: TenantName) => number;
  readonly takeFraction: () => number;
};

/** The limiter of one VM. */
export type QuotaLimiter = {
  readonly admit: (tenant: Tenant | undefined, cost: number, now: number) => QuotaVerdict;
  readonly giveBack: (admission: QuotaAdmission, now: number) => void;
  /** Names the VM that keeps the quotas now. */
  readonly setKeeper: (keeper: VmId, now: number) => void;
  /** Records that a VM was heard; only the keeper's messages matter. */
  readonly recordHeard: (vmId: VmId, now: number) => void;
  readonly handleLevels: (from: VmId, message: QuotaLevelsMessage, now: number) => void;
  /** Returns the report that is due; undefined if there is nothing to report. */
  readonly takeReport: (now: number) => QuotaUseMessage | undefined;
  readonly isInContact: (now: number) => boolean;
  /** The keeper whose levels this VM uses; undefined while it uses its own share. */
  readonly findUsedKeeper: (now: number) => VmId | undefined;
  readonly countAccounts: () => number;
};

/** A keeper that was not heard, or did not answer a report, for this long is out of contact. */
const CONTACT_TIMEOUT_MS = 600;
/** A longer gap between ticks means that this process was paused. */
const STALL_MS = 300;
/** Shortest time between two reports while in contact. */
const REPORT_INTERVAL_MS = 100;
/** Shortest time between two reports that ask for all levels, to regain contact. */
const PROBE_INTERVAL_MS = 200;
/** Levels of the previous keeper are not reported to the next one if contact was longer ago. */
const PREVIOUS_LEVELS_LIFE_MS = 1_200;
/** After a shorter pause what was known of a tenant still counts. */
const SHORT_STALL_MS = 1_000;
/** Levels of a keeper with a smaller share of the VMs are ignored: the own shares allow as much. */
const LEAST_SHARE = 0.25;
/** Levels of a keeper with a smaller share say little about the other VMs and are not passed on. */
const LEAST_PREVIOUS_SHARE = 0.5;
/** Accounts of tenants without requests for this long are dropped once they are settled. */
const IDLE_ACCOUNT_MS = 10_000;
/** Admission of requests of tenants without a limit. */
const UNLIMITED: QuotaAdmission = { kind: 'admitted', tenant: undefined, cost: 0, lossCount: 0 };

/** Makes the limiter of a VM that is out of contact. */
export function makeQuotaLimiter(parts: QuotaLimiterParts, startedAt: number): QuotaLimiter {
  const { findQuota, getBounds, countListedVms, getPhase, takeFraction } = parts;
  const accounts = new Map<TenantName, QuotaAccount>();
  let keeper: VmId | undefined;
  /** Last message of the keeper while in contact. */
  let heardAt = startedAt;
  let tickedAt = startedAt;
  let sequence = 0;
  let reportedAt = -Infinity;
  /** First report that the keeper has not answered. */
  let pending: { readonly sequence: number; readonly at: number } | undefined;
  let loss: ContactLoss | undefined = { count: 1, at: startedAt, wasInContact: false };
  let lossCount = 1;
  /** Contact is back with the answer to this report or a later one. */
  let probeSequence = 1;
  let wantsAll = true;
  let lastNumber = { start: '', number: 0 };
  let share = 1;

  function recordContactLoss(at: number, wasInContact: boolean): void {
    lossCount += 1;
    loss = { count: lossCount, at, wasInContact };
    probeSequence = sequence + 1;
    pending = undefined;
    wantsAll = true;
  }

  function checkContact(now: number): void {
    const gapMs = now - tickedAt;
    if (gapMs > STALL_MS) {
      // Messages that wait to be read are of the time before the pause.
      tickedAt = now;
      recordContactLoss(now, loss === undefined && gapMs <= SHORT_STALL_MS);
      return;
    }
    if (loss !== undefined) return;
    const isSilent = now - heardAt > CONTACT_TIMEOUT_MS;
    const isUnanswered = pending !== undefined && now - pending.at > CONTACT_TIMEOUT_MS;
    if (isSilent || isUnanswered) recordContactLoss(now, true);
  }

  function findPartShape(quota: TenantQuota): ReturnType<typeof computeQuotaShape> {
    return computeQuotaShape(quota, getBounds(), 1 / Math.max(1, countListedVms()));
  }

  function findAccount(tenant: TenantName, now: number): QuotaAccount {
    const known = accounts.get(tenant);
    if (known !== undefined) return known;
    const account = makeQuotaAccount(sequence, now);
    accounts.set(tenant, account);
    return account;
  }

  /** Forgets earlier levels: the answer to a probe names all tenants that are near empty. */
  function forgetLevels(): void {
    for (const account of accounts.values()) account.keeperLevel = undefined;
  }

  function isOutdated({ start, number }: QuotaLevelsMessage): boolean {
    if (start === lastNumber.start && number <= lastNumber.number) return true;
    lastNumber = { start, number };
    return false;
  }

  function handleAnswer(answered: number, now: number): void {
    heardAt = now;
    if (pending !== undefined && answered >= pending.sequence) {
      pending = answered < sequence ? { sequence, at: reportedAt } : undefined;
    }
    if (answered >= probeSequence && wantsAll) {
      wantsAll = false;
      forgetLevels();
      loss = undefined;
    }
  }

  function dropIdle(now: number): void {
    for (const [tenant, account] of accounts) {
      const quota = findQuota(tenant);
      const isIdle = now - account.askedAt > IDLE_ACCOUNT_MS;
      const isKept =
        quota !== undefined &&
        (account.used !== account.settled ||
          isNearEmpty(account, computeQuotaShape(quota, getBounds(), share)) ||
          !isOwnShareEven(account, findPartShape(quota), now));
      if (isIdle && !isKept) accounts.delete(tenant);
    }
  }

  function collectItems(): QuotaUseItem[] {
    const items: QuotaUseItem[] = [];
    for (const [tenant, account] of accounts) {
      const item = buildUseItem(tenant, account);
      if (item !== undefined) items.push(item);
    }
    return items;
  }

  /** Lists the tenants that were near empty in recent contact, for a keeper that does not know. */
  function listPreviousLevels(now: number): QuotaLevelItem[] | undefined {
    const wasInContact = loss === undefined || loss.wasInContact;
    if (!wasInContact || now - heardAt > PREVIOUS_LEVELS_LIFE_MS || share < LEAST_PREVIOUS_SHARE) {
      return undefined;
    }
    const previousLevels: QuotaLevelItem[] = [];
    for (const [tenant, account] of accounts) {
      const quota = findQuota(tenant);
      if (quota === undefined || account.keeperLevel === undefined) continue;
      const shape = computeQuotaShape(quota, getBounds(), share);
      if (!isNearEmpty(account, shape)) continue;
      const { level, at } = account.keeperLevel;
      previousLevels.push({ tenant, level: level + shape.ratePerMs * (now - at) });
    }
    return previousLevels;
  }

  return {
    admit: (tenant, cost, now) => {
      if (tenant?.quota === undefined || !isLimited(tenant)) return UNLIMITED;
      checkContact(now);
      const { name, quota } = tenant;
      const account = findAccount(name, now);
      recordAsked(account, cost, now);
      const whole = computeQuotaShape(quota, getBounds(), loss === undefined ? share : 1);
      let retryAt: number | undefined;
      if (loss === undefined) {
        retryAt = takeFromLevel(account, cost, whole, takeFraction(), now);
      } else {
        const terms = { whole, part: findPartShape(quota), loss, phase: getPhase(name) };
        retryAt = takeFromOwnShare(account, cost, terms, now);
      }
      if (retryAt !== undefined) {
        return { kind: 'refused', retryAt, level: estimateLevel(account, whole, now) };
      }
      return { kind: 'admitted', tenant: name, cost, lossCount: loss?.count ?? 0 };
    },
    giveBack: (admission, now) => {
      const { tenant, cost, lossCount: ownLoss } = admission;
      if (tenant === undefined) return;
      const account = findAccount(tenant, now);
      if (ownLoss === 0) account.used -= cost;
      else if (account.own !== undefined) account.own.level += cost;
    },
    setKeeper: (next, now) => {
      checkContact(now);
      if (next === keeper) return;
      keeper = next;
      probeSequence = sequence + 1;
      wantsAll = true;
      reportedAt = -Infinity;
      // Keepers that take turns without an answer are no contact.
      if (pending !== undefined) pending = { sequence: probeSequence, at: pending.at };
    },
    recordHeard: (vmId, now) => {
      if (vmId === keeper && loss === undefined) heardAt = now;
    },
    handleLevels: (from, message, now) => {
      if (from !== keeper || isOutdated(message)) return;
      checkContact(now);
      if (message.share < LEAST_SHARE && countListedVms() > 1) return;
      const { answers, items } = message;
      const answered = answers?.start === parts.start ? answers.sequence : undefined;
      if (answered === undefined && (answers !== undefined || wantsAll)) return;
      share = Math.min(1, message.share);
      if (answered !== undefined) handleAnswer(answered, now);
      if (wantsAll) return;
      heardAt = now;
      for (const item of items) {
        const account = findAccount(item.tenant as TenantName, now);
        applyLevel(account, item, answered, now);
      }
    },
    takeReport: (now) => {
      checkContact(now);
      tickedAt = now;
      if (keeper === undefined) return undefined;
      const intervalMs = wantsAll ? PROBE_INTERVAL_MS : REPORT_INTERVAL_MS;
      if (now - reportedAt < intervalMs) return undefined;
      dropIdle(now);
      const items = collectItems();
      if (items.length === 0 && !wantsAll) return undefined;
      sequence += 1;
      reportedAt = now;
      if (loss === undefined) pending ??= { sequence, at: now };
      const common = { kind: 'quota-use', start: parts.start, sequence, items } as const;
      if (!wantsAll) return common;
      const previousLevels = listPreviousLevels(now);
      return previousLevels === undefined
        ? { ...common, wantsAll }
        : { ...common, wantsAll, previousLevels };
    },
    isInContact: (now) => {
      checkContact(now);
      return loss === undefined;
    },
    findUsedKeeper: (now) => {
      checkContact(now);
      return loss === undefined ? keeper : undefined;
    },
    countAccounts: () => accounts.size,
  };
}
