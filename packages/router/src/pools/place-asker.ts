/** Asker's side: sends asks to the owner of the service, and again to the next one if it is silent. */

import type { SlotRequestId, SlotRequest, SlotAssignment } from '@tarragonspool/core';
import type { PoolMessage, SlotAssignmentItem, ServiceName, VmId } from '@tarragonspool/protocol';
import type { Logger } from '../logging/logger.js';
import type { Owners } from './owners.js';
import type { OnPlaceReply, PlaceRequestMessage } from './place-messages.js';

type PendingAsk = {
  readonly service: ServiceName;
  readonly ask: SlotRequest;
  readonly hasRun: boolean;
  readonly onReply: OnPlaceReply;
  /** Undefined before the first send. */
  owner: VmId | undefined;
  sentAt: number;
  isHeard: boolean;
};

type AskedRun = {
  readonly service: ServiceName;
  readonly run: SlotAssignment;
  owner: VmId;
  isRead: boolean;
};

/** Answers of an owner. */
export type AskerMessage = Extract<
  PoolMessage,
  { kind: 'pool-queued' | 'pool-grant' | 'pool-refuse' }
>;

/** Asker's side of all services. */
export type PlaceAsker = {
  readonly handleRequest: (message: PlaceRequestMessage, now: number) => void;
  readonly handleAnswer: (from: VmId, message: AskerMessage, now: number) => void;
  /** Asks again, now that this VM stops at a known time: owners place what can end before it. */
  readonly handleStop: (stopAt: number, now: number) => void;
  /** Finds new owners for what silent ones were asked. */
  readonly checkOwners: (now: number) => void;
};

/** What the asker's side works with. */
export type PlaceAskerParts = {
  readonly self: VmId;
  /** Asks wait until then: before it the peers of this VM are not linked. */
  readonly asksFrom: number;
  readonly owners: Owners;
  readonly tell: (to: VmId, message: PoolMessage) => void;
  readonly logger: Logger;
};

/** An owner that is alive says within this time that it heard an ask. */
const HEARD_WITHIN_MS = 120;

function buildRunItem({ run }: AskedRun, now: number): SlotAssignmentItem {
  return {
    askId: run.ask.askId,
    promptTokens: run.ask.promptTokens,
    outputTokens: run.ask.outputTokens,
    pauseMs: run.ask.pauseMs,
    decode: run.decode,
    prefill: run.prefill,
    grantedAgoMs: now - run.grantedAt,
    endsInMs: run.expectedEndAt - now,
  };
}

/** Makes the asker's side. */
export function makePlaceAsker(parts: PlaceAskerParts): PlaceAsker {
  const { owners, tell, logger } = parts;
  const pending = new Map<SlotRequestId, PendingAsk>();
  const runs = new Map<SlotRequestId, AskedRun>();
  const ownerOf = new Map<ServiceName, VmId>();
  let stopAt = Infinity;

  /** Hands the count of this VM's runs from one owner to the next. */
  function moveRuns(service: ServiceName, from: VmId | undefined, to: VmId, now: number): void {
    const items: SlotAssignmentItem[] = [];
    for (const asked of runs.values()) {
      if (asked.service !== service) continue;
      asked.owner = to;
      items.push(buildRunItem(asked, now));
    }
    if (from !== undefined) tell(from, { kind: 'pool-runs', service, runs: [] });
    tell(to, { kind: 'pool-runs', service, runs: items });
  }

  function chooseOwner(service: ServiceName, now: number): VmId {
    const owner = owners.chooseOwner(service, now);
    const known = ownerOf.get(service);
    if (known === owner) return owner;
    ownerOf.set(service, owner);
    logger.info({ service, owner, before: known }, 'pools: owner chosen');
    moveRuns(service, known, owner, now);
    return owner;
  }

  function sendAsk(asked: PendingAsk, now: number): void {
    const { service, ask } = asked;
    const owner = chooseOwner(service, now);
    asked.owner = owner;
    asked.sentAt = now;
    asked.isHeard = owner === parts.self;
    const { askId, contentKey, promptTokens, outputTokens } = ask;
    const { needsPrefill, isContinued, excluded } = ask;
    const isCutBy = asked.hasRun ? Infinity : stopAt;
    tell(owner, {
      kind: 'pool-ask',
      service,
      askId,
      contentKey,
      promptTokens,
      outputTokens,
      needsPrefill,
      isContinued,
      ...(isCutBy === Infinity ? {} : { endsInMs: isCutBy - now }),
      excluded,
      aimInMs: ask.aimAt - now,
      pauseMs: ask.pauseMs,
      patienceInMs: ask.patienceEndsAt - now,
    });
  }

  function askAgain(asked: PendingAsk, now: number): void {
    const { service, ask, owner } = asked;
    if (owner !== undefined) tell(owner, { kind: 'pool-withdraw', service, askId: ask.askId });
    sendAsk(asked, now);
  }

  function withdraw(askId: SlotRequestId): void {
    const asked = pending.get(askId);
    if (asked !== undefined) {
      pending.delete(askId);
      const { owner, service } = asked;
      if (owner !== undefined) tell(owner, { kind: 'pool-withdraw', service, askId });
      return;
    }
    const held = runs.get(askId);
    if (held === undefined) return;
    runs.delete(askId);
    tell(held.owner, { kind: 'pool-end', service: held.service, askId, didFinish: false });
  }

  function handleGrant(
    from: VmId,
    message: Extract<AskerMessage, { kind: 'pool-grant' }>,
    now: number,
  ): void {
    const askId = message.askId as SlotRequestId;
    const asked = pending.get(askId);
    if (asked === undefined) {
      // The request is over, or another owner was faster.
      tell(from, { kind: 'pool-end', service: message.service, askId, didFinish: false });
      return;
    }
    pending.delete(askId);
    const { service, ask, onReply } = asked;
    const { prefill, decode, endsInMs } = message;
    const run = {
      ask,
      decode,
      prefill,
      grantedAt: now,
      isLate: false,
      expectedEndAt: now + endsInMs,
    };
    runs.set(askId, { service, run, owner: from, isRead: false });
    onReply({ kind: 'granted', askId, prefill, decode });
  }

  return {
    handleRequest: (message, now) => {
      switch (message.kind) {
        case 'ask': {
          const { service, ask, hasRun, onReply } = message;
          const sent = { owner: undefined, sentAt: now, isHeard: false };
          const asked = { service, ask, hasRun, onReply, ...sent };
          pending.set(ask.askId, asked);
          if (now >= parts.asksFrom) sendAsk(asked, now);
          return;
        }
        case 'withdraw':
          withdraw(message.askId);
          return;
        case 'prefilled': {
          const held = runs.get(message.askId);
          if (held === undefined || held.isRead) return;
          held.isRead = true;
          held.run.prefill = undefined;
          const { askId } = message;
          tell(held.owner, { kind: 'pool-prefilled', service: held.service, askId });
          return;
        }
        case 'end': {
          const held = runs.get(message.askId);
          if (held === undefined) return;
          runs.delete(message.askId);
          const { askId, didFinish } = message;
          tell(held.owner, { kind: 'pool-end', service: held.service, askId, didFinish });
          return;
        }
        case 'engine-failed': {
          const { service, upstreamId, failure } = message;
          const owner = chooseOwner(service, now);
          tell(owner, { kind: 'pool-engine-failed', service, upstreamId, failure });
          return;
        }
        default:
          message satisfies never;
      }
    },
    handleAnswer: (from, message, now) => {
      const asked = pending.get(message.askId as SlotRequestId);
      switch (message.kind) {
        case 'pool-queued':
          if (asked !== undefined) asked.isHeard = true;
          return;
        case 'pool-grant':
          handleGrant(from, message, now);
          return;
        case 'pool-refuse': {
          if (asked === undefined || asked.owner !== from) return;
          const askId = message.askId as SlotRequestId;
          pending.delete(askId);
          const { reason, retryAfterMs } = message;
          asked.onReply({ kind: 'refused', askId, reason, retryAfterMs });
          return;
        }
        default:
          message satisfies never;
      }
    },
    handleStop: (at, now) => {
      stopAt = at;
      for (const asked of pending.values()) {
        if (!asked.hasRun && now >= parts.asksFrom) askAgain(asked, now);
      }
    },
    checkOwners: (now) => {
      if (now < parts.asksFrom) return;
      for (const asked of pending.values()) {
        const { owner, isHeard, sentAt } = asked;
        const isUnheard = !isHeard && now - sentAt > HEARD_WITHIN_MS;
        if (isUnheard && owner !== undefined) owners.recordSilent(owner);
      }
      for (const service of ownerOf.keys()) chooseOwner(service, now);
      for (const asked of pending.values()) {
        const { service, owner: before, ask } = asked;
        if (before === undefined) {
          sendAsk(asked, now);
          continue;
        }
        if (before === ownerOf.get(service)) continue;
        logger.warn({ askId: ask.askId, before }, 'pools: asking the next owner');
        askAgain(asked, now);
      }
    },
  };
}
