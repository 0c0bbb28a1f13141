/** The keeper of quotas: one bucket for each tenant in use, from which the use of all VMs is taken. */

import type {
  QuotaLevelItem,
  QuotaLevelsMessage,
  QuotaUseItem,
  QuotaUseMessage,
  VmId,
} from '@tarragonspool/protocol';
import type { TenantName, TenantQuota } from '../tenants/index.js';
import { computeQuotaShape, type QuotaBounds, type QuotaShape } from './quota-shape.js';

/** Dependencies of the keeper. */
export type QuotaKeeperParts = {
  /** Identifies the start of this process. */
  readonly start: string;
  readonly findQuota: (tenant: TenantName) => TenantQuota | undefined;
  readonly getBounds: () => QuotaBounds;
  readonly countListedVms: () => number;
  /** Share of the listed VMs that is heard, whichever keeper they use. */
  readonly measureHeardShare: (now: number) => number;
  /** When any other VM was heard last; undefined without links. */
  readonly getHeardAt: () => number | undefined;
  /** Whether this VM itself considers itself the keeper. */
  readonly isChosen: (now: number) => boolean;
};

/** The keeper of this VM; idle while no VM uses it. */
export type QuotaKeeper = {
  /** Records whether a VM uses this keeper. */
  readonly recordUser: (vmId: VmId, isUser: boolean, now: number) => void;
  /** Charges a report; returns the reply, or undefined if a later report was charged before. */
  readonly handleUse: (
    from: VmId,
    message: QuotaUseMessage,
    now: number,
  ) => QuotaLevelsMessage | undefined;
  /** Returns the levels to broadcast; undefined if no tenant is near empty. */
  readonly tick: (now: number) => QuotaLevelsMessage | undefined;
  readonly countBelowZero: () => number;
  /** Whether this VM receives nothing from other VMs, so that it cannot know what is used. */
  readonly isIsolated: (now: number) => boolean;
};

/** Bucket of one tenant. */
type Bucket = {
  level: number;
  /** Value of `refilled` of the term up to which the level has been refilled. */
  refilled: number;
  usedAt: number;
  /** Cost asked per millisecond, averaged. */
  askRate: number;
  askedAt: number;
  /** Number of further messages to all VMs that name the tenant. */
  noticesLeft: number;
};

/** What was charged for one user and tenant, by its latest report. */
type Charged = { used: number; sequence: number; asked: number };
/** A VM that uses this keeper or is about to. */
type User = {
  start: string;
  sequence: number;
  /** When it last said that it uses this keeper. */
  heardAt: number;
  /** When it last reported, using this keeper or about to. */
  reportedAt: number;
  charged: Map<string, Charged>;
};

/** Time during which this VM acts as keeper, from the first report or user to the last. */
type KeeperTerm = {
  since: number;
  /** Whether users reported the levels of the previous keeper. */
  hasPreviousLevels: boolean;
  isChosen: boolean;
  /** Greatest share of the other VMs that used this keeper. */
  peakShare: number;
  /** Milliseconds since the begin, each weighted by the share of VMs that used this keeper. */
  refilled: number;
  /** Part of `refilled` at which new buckets begin. */
  refilledBefore: number;
  advancedAt: number;
};

/** A VM that was not heard for this long uses its own share instead. */
const USER_TIMEOUT_MS = 600;
/** A new keeper counts all VMs that it hears as its users for this long: their reports are on the way. */
const TAKE_OVER_MS = 600;
/** Without users for this long the levels are discarded. */
const TERM_TIMEOUT_MS = 1_000;
/**
 * After a longer gap between ticks users may have gone to another keeper, since they may have heard
 * this one up to 200 ms before the gap.
 */
const STALL_MS = 400;
/**
 * Hubs send to each other every 200 ms: a keeper that has received nothing for longer does not know
 * what is used.
 */
const ISOLATION_TIMEOUT_MS = 300;
/** After a longer pause others have kept the levels. */
const LONG_STALL_MS = 2_000;
/** Messages that still name a tenant once it is no longer near empty, since some may be lost. */
const NOTICE_COUNT = 5;
/** Part of its depth at which a bucket counts as full. */
const FULL_PART = 0.99;
/** Buckets of tenants without use for this long are dropped once they are full. */
const IDLE_TENANT_MS = 10_000;
/** A VM that has sent nothing for this long is forgotten, with what was charged for it. */
const FORGET_USER_MS = 30_000;
/** A keeper that served a smaller share replaces its levels by those of the previous keeper. */
const SMALL_SHARE = 0.25;
/** Time constant of the average of the cost asked. */
const ASK_AVERAGE_MS = 1_000;

/** Makes the keeper. */
export function makeQuotaKeeper(parts: QuotaKeeperParts): QuotaKeeper {
  const { start, findQuota, getBounds } = parts;
  const buckets = new Map<string, Bucket>();
  const users = new Map<VmId, User>();
  let term: KeeperTerm | undefined;
  let number = 0;

  /** Measures the share of the listed VMs for which `getTime` returns a time within the user timeout. */
  function measureRecentUserShare(now: number, getTime: (user: User) => number): number {
    let count = 0;
    for (const user of users.values()) if (now - getTime(user) <= USER_TIMEOUT_MS) count += 1;
    return Math.min(1, count / Math.max(1, parts.countListedVms()));
  }

  /** Measures the share of the VMs for which levels are refilled. */
  function measureRefillShare(now: number): number {
    const share = measureRecentUserShare(now, ({ heardAt }) => heardAt);
    const isTakingOver = term?.isChosen === true && now - term.since <= TAKE_OVER_MS;
    return isTakingOver ? Math.max(share, parts.measureHeardShare(now)) : share;
  }

  /** Whether other VMs may use this keeper and it would not know. */
  function isIsolated(now: number): boolean {
    const heardAt = parts.getHeardAt();
    return heardAt !== undefined && now - heardAt > ISOLATION_TIMEOUT_MS;
  }

  /** Measures the share of the burst that this keeper may grant: VMs that use another keeper have theirs there. */
  function measureDepthShare(now: number): number {
    if (term?.isChosen === true) return parts.measureHeardShare(now);
    return measureRecentUserShare(now, ({ heardAt, reportedAt }) => Math.max(heardAt, reportedAt));
  }

  function findShape(tenant: string): QuotaShape | undefined {
    const quota = findQuota(tenant as TenantName);
    if (quota === undefined || quota.ratePerSecond <= 0) return undefined;
    return computeQuotaShape(quota, getBounds());
  }

  function endTerm(): void {
    term = undefined;
    buckets.clear();
    users.clear();
  }

  function refill(bucket: Bucket, { ratePerMs, depth }: QuotaShape, share: number): void {
    const refilled = term?.refilled ?? 0;
    const level = bucket.level + ratePerMs * (refilled - bucket.refilled);
    bucket.level = Math.min(depth * share, level);
    bucket.refilled = refilled;
  }

  /** After a pause: what was used meanwhile may have been charged by another keeper. */
  function handleStall(gapMs: number): void {
    if (gapMs > LONG_STALL_MS) {
      endTerm();
      return;
    }
    for (const [tenant, bucket] of buckets) {
      bucket.level = Math.min(bucket.level, findShape(tenant)?.start ?? 0);
    }
    // What users sent meanwhile has not been read yet.
    for (const user of users.values()) {
      user.heardAt += gapMs;
      user.reportedAt += gapMs;
    }
  }

  function advance(now: number): void {
    if (term === undefined) return;
    term.isChosen = parts.isChosen(now);
    const gapMs = now - term.advancedAt;
    term.advancedAt = now;
    if (gapMs > STALL_MS) {
      handleStall(gapMs);
      return;
    }
    const share = isIsolated(now) ? 0 : measureRefillShare(now);
    term.refilled += gapMs * share;
    const others = measureRecentUserShare(now, (user) =>
      user.start === start ? -Infinity : user.heardAt,
    );
    term.peakShare = Math.max(term.peakShare, others);
  }

  function getOrAddTerm(now: number): KeeperTerm {
    advance(now);
    term ??= {
      since: now,
      hasPreviousLevels: false,
      isChosen: parts.isChosen(now),
      peakShare: 0,
      refilled: 0,
      refilledBefore: 0,
      advancedAt: now,
    };
    return term;
  }

  function findUser(vmId: VmId, now: number): User {
    getOrAddTerm(now);
    const known = users.get(vmId);
    if (known !== undefined) return known;
    const user: User = {
      start: '',
      sequence: -1,
      heardAt: -Infinity,
      reportedAt: -Infinity,
      charged: new Map<string, Charged>(),
    };
    users.set(vmId, user);
    return user;
  }

  function addBucket(tenant: string, level: number, refilled: number, now: number): Bucket {
    const bucket = { level, refilled, usedAt: now, askRate: 0, askedAt: now, noticesLeft: 0 };
    buckets.set(tenant, bucket);
    return bucket;
  }

  function findBucket(tenant: string, { near, start: first }: QuotaShape, now: number): Bucket {
    const known = buckets.get(tenant);
    if (known !== undefined) return known;
    const { hasPreviousLevels, isChosen, refilledBefore } = getOrAddTerm(now);
    const level = isChosen ? first : 0;
    // The users of the keeper before this one know which tenants were near empty.
    return addBucket(tenant, hasPreviousLevels ? near : level, refilledBefore, now);
  }

  /** Adopts the levels of tenants that were near empty at the previous keeper of a user. */
  function adoptPreviousLevels(previousLevels: readonly QuotaLevelItem[], now: number): void {
    const current = getOrAddTerm(now);
    if (current.isChosen && !current.hasPreviousLevels && current.peakShare < SMALL_SHARE) {
      buckets.clear();
      current.hasPreviousLevels = true;
      current.since = now;
      current.refilledBefore = current.refilled;
    }
    for (const { tenant, level } of previousLevels) {
      const bucket = buckets.get(tenant);
      if (bucket !== undefined) bucket.level = Math.min(bucket.level, level);
      else if (findShape(tenant) !== undefined) addBucket(tenant, level, current.refilled, now);
    }
  }

  function recordAsked(bucket: Bucket, asked: number, now: number): void {
    const kept = Math.exp((bucket.askedAt - now) / ASK_AVERAGE_MS);
    bucket.askRate = bucket.askRate * kept + Math.max(0, asked) / ASK_AVERAGE_MS;
    bucket.askedAt = now;
  }

  function buildItem(tenant: string, bucket: Bucket, { ratePerMs }: QuotaShape): QuotaLevelItem {
    return { tenant, level: bucket.level, demand: bucket.askRate / ratePerMs };
  }

  function charge(
    user: User,
    item: QuotaUseItem,
    sequence: number,
    now: number,
  ): QuotaLevelItem | undefined {
    const { tenant, used, settled, settledSequence, asked = used } = item;
    const shape = findShape(tenant);
    if (shape === undefined) return undefined;
    const bucket = findBucket(tenant, shape, now);
    refill(bucket, shape, measureDepthShare(now));
    const known = user.charged.get(tenant);
    const isKnown = known !== undefined && known.sequence > settledSequence;
    // What no keeper has confirmed is charged here, also what was used before this one took over.
    bucket.level -= used - (isKnown ? known.used : settled);
    bucket.usedAt = now;
    recordAsked(bucket, asked - (known?.asked ?? asked), now);
    user.charged.set(tenant, { used, sequence, asked });
    return { ...buildItem(tenant, bucket, shape), used };
  }

  function listNear(now: number, isIncluded: (bucket: Bucket) => boolean): QuotaLevelItem[] {
    const share = measureDepthShare(now);
    const items: QuotaLevelItem[] = [];
    for (const [tenant, bucket] of buckets) {
      const shape = findShape(tenant);
      if (shape === undefined) {
        buckets.delete(tenant);
        continue;
      }
      refill(bucket, shape, share);
      recordAsked(bucket, 0, now);
      if (bucket.level < shape.near) bucket.noticesLeft = NOTICE_COUNT;
      if (isIncluded(bucket)) items.push(buildItem(tenant, bucket, shape));
    }
    return items;
  }

  function dropIdle(now: number): void {
    for (const [tenant, bucket] of buckets) {
      const isIdle = now - bucket.usedAt > IDLE_TENANT_MS && bucket.noticesLeft === 0;
      const full = FULL_PART * (findShape(tenant)?.depth ?? 0) * measureDepthShare(now);
      // A tenant that comes back begins with a full bucket.
      if (!isIdle || bucket.level < full) continue;
      buckets.delete(tenant);
      for (const { charged } of users.values()) charged.delete(tenant);
    }
    for (const [vmId, { heardAt, reportedAt }] of users) {
      if (now - Math.max(heardAt, reportedAt) > FORGET_USER_MS) users.delete(vmId);
    }
  }

  return {
    recordUser: (vmId, isUser, now) => {
      const known = users.get(vmId);
      if (!isUser && known !== undefined) {
        advance(now);
        known.heardAt = -Infinity;
      }
      if (isUser) findUser(vmId, now).heardAt = now;
    },
    handleUse: (from, message, now) => {
      const user = findUser(from, now);
      if (user.start !== message.start) {
        user.start = message.start;
        user.sequence = -1;
        user.charged.clear();
      }
      if (message.sequence <= user.sequence) return undefined;
      user.sequence = message.sequence;
      user.reportedAt = now;
      // A VM that asks for all levels does not use them yet.
      if (message.wantsAll !== true) user.heardAt = now;
      if (message.previousLevels !== undefined) adoptPreviousLevels(message.previousLevels, now);
      const items = new Map<string, QuotaLevelItem>();
      for (const item of message.items) {
        const answer = charge(user, item, message.sequence, now);
        if (answer !== undefined) items.set(item.tenant, answer);
      }
      if (message.wantsAll === true) {
        for (const item of listNear(now, ({ noticesLeft }) => noticesLeft > 0)) {
          if (!items.has(item.tenant)) items.set(item.tenant, item);
        }
      }
      number += 1;
      return {
        kind: 'quota-levels',
        start,
        number,
        share: measureDepthShare(now),
        answers: { start: message.start, sequence: message.sequence },
        items: [...items.values()],
      };
    },
    tick: (now) => {
      advance(now);
      if (term === undefined) return undefined;
      const isUsed = [...users.values()].some(
        ({ heardAt, reportedAt }) => now - Math.max(heardAt, reportedAt) <= TERM_TIMEOUT_MS,
      );
      if (!isUsed && now - term.since > TERM_TIMEOUT_MS) {
        endTerm();
        return undefined;
      }
      const items = listNear(now, (bucket) => {
        bucket.noticesLeft -= bucket.noticesLeft > 0 ? 1 : 0;
        return bucket.noticesLeft > 0;
      });
      dropIdle(now);
      if (items.length === 0 || isIsolated(now)) return undefined;
      number += 1;
      return { kind: 'quota-levels', start, number, share: measureDepthShare(now), items };
    },
    countBelowZero: () => [...buckets.values()].filter(({ level }) => level < 0).length,
    isIsolated,
  };
}
