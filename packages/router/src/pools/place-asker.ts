/**
 * Pool client: sends the slot requests of this VM to the owner of the service, and sends them again
 * to the next owner if that one is silent.
 */

import type { SlotRequestId, SlotRequest, SlotAssignment } from '@tarragonspool/core';
import type {
  PoolMessage,
  SlotAssignmentItem,
  SlotRequestFields,
  ServiceName,
  VmId,
} from '@tarragonspool/protocol';
import type { Logger } from '../logging/logger.js';
import type { OwnerSelector } from './owners.js';
import type { SlotReplyHandler, PoolRequestMessage } from './place-messages.js';

/** A slot request that has been neither granted nor refused yet. */
type PendingRequest = {
  readonly service: ServiceName;
  readonly ask: SlotRequest;
  readonly hasRun: boolean;
  readonly onReply: SlotReplyHandler;
  /** VM that the request was sent to; undefined before it is first sent. */
  owner: VmId | undefined;
  sentAt: number;
  isAcknowledged: boolean;
  /** When it is sent again to the same owner, unless it is granted or refused before. */
  sendAgainAt: number;
};

/** A granted slot that a request of this VM occupies. */
type ActiveSlot = {
  readonly service: ServiceName;
  readonly run: SlotAssignment;
  owner: VmId;
  isPrefilled: boolean;
};

/** Replies of an owner. */
export type OwnerReply = Extract<
  PoolMessage,
  { kind: 'pool-queued' | 'pool-grant' | 'pool-refuse' }
>;

/** The pool client of this VM, for all services. */
export type PoolClient = {
  readonly handleRequest: (message: PoolRequestMessage, now: number) => void;
  readonly handleAnswer: (from: VmId, message: OwnerReply, now: number) => void;
  /**
   * Sends pending requests again with the time at which this VM stops, so that owners grant only
   * those that can end before it.
   */
  readonly handleStop: (stopAt: number, now: number) => void;
  /** Whether slot requests are neither granted nor refused yet. */
  readonly hasPending: () => boolean;
  /** Sends requests whose owner is silent or gone to the new owner. */
  readonly checkOwners: (now: number) => void;
};

/** Dependencies of the pool client. */
export type PoolClientParts = {
  readonly self: VmId;
  /** When the peers of this VM are linked; no slot request is sent before. */
  readonly linkedBy: number;
  readonly ownerSelector: OwnerSelector;
  readonly send: (to: VmId, message: PoolMessage) => void;
  readonly logger: Logger;
};

/** A live owner acknowledges a slot request within this time. */
const ACK_TIMEOUT_MS = 120;
/**
 * A request that waits is sent again at this interval: its owner may have forgotten it in a pause,
 * or the reply was sent on a link that closed.
 */
const SEND_AGAIN_MS = 300;

function buildAssignmentItem({ run: assignment }: ActiveSlot, now: number): SlotAssignmentItem {
  return {
    askId: assignment.ask.askId,
    promptTokens: assignment.ask.promptTokens,
    outputTokens: assignment.ask.outputTokens,
    pauseMs: assignment.ask.pauseMs,
    decode: assignment.decode,
    prefill: assignment.prefill,
    grantedAgoMs: now - assignment.grantedAt,
    endsInMs: assignment.expectedEndAt - now,
  };
}

/** Makes the pool client. */
export function makePoolClient(parts: PoolClientParts): PoolClient {
  const { ownerSelector, send, logger } = parts;
  const pending = new Map<SlotRequestId, PendingRequest>();
  const activeSlots = new Map<SlotRequestId, ActiveSlot>();
  const ownerOf = new Map<ServiceName, VmId>();
  let stopAt = Infinity;

  /** Reports this VM's slot assignments to the new owner, and an empty list to the old one. */
  function moveAssignments(
    service: ServiceName,
    from: VmId | undefined,
    to: VmId,
    now: number,
  ): void {
    const items: SlotAssignmentItem[] = [];
    for (const slot of activeSlots.values()) {
      if (slot.service !== service) continue;
      slot.owner = to;
      items.push(buildAssignmentItem(slot, now));
    }
    if (from !== undefined) send(from, { kind: 'pool-runs', service, runs: [] });
    send(to, { kind: 'pool-runs', service, runs: items });
  }

  function chooseOwner(service: ServiceName, now: number): VmId {
    const owner = ownerSelector.chooseOwner(service, now);
    const previous = ownerOf.get(service);
    if (previous === owner) return owner;
    ownerOf.set(service, owner);
    logger.info({ service, owner, before: previous }, 'pools: owner of the service chosen');
    moveAssignments(service, previous, owner, now);
    return owner;
  }

  function buildFields(request: PendingRequest, now: number): SlotRequestFields {
    const { service, ask: slotRequest } = request;
    const { askId, contentKey, dataCentre, rank, promptTokens, outputTokens } = slotRequest;
    const { maxOutputTokens, tenant, deadlineAt } = slotRequest;
    const { needsPrefill, isContinued, excluded, softwareVersion } = slotRequest;
    const interruptAt = request.hasRun ? Infinity : stopAt;
    return {
      service,
      askId,
      contentKey,
      dataCentre,
      rank,
      ...(tenant === undefined ? {} : { tenant }),
      promptTokens,
      outputTokens,
      maxOutputTokens,
      needsPrefill,
      isContinued,
      ...(interruptAt === Infinity ? {} : { endsInMs: interruptAt - now }),
      excluded,
      softwareVersion,
      aimInMs: slotRequest.aimAt - now,
      pauseMs: slotRequest.pauseMs,
      patienceInMs: slotRequest.patienceEndsAt - now,
      ...(deadlineAt === undefined ? {} : { deadlineInMs: deadlineAt - now }),
    };
  }

  function sendSlotRequest(request: PendingRequest, now: number): void {
    const owner = chooseOwner(request.service, now);
    request.owner = owner;
    request.sentAt = now;
    request.sendAgainAt = now + SEND_AGAIN_MS;
    request.isAcknowledged = owner === parts.self;
    send(owner, { kind: 'pool-ask', ...buildFields(request, now) });
  }

  /** Sends a request to its owner once more; one that knows it answers with what it decided, if it did. */
  function sendRequestAgain(request: PendingRequest, owner: VmId, now: number): void {
    request.sendAgainAt = now + SEND_AGAIN_MS;
    // Nothing is lost between the two sides of one VM.
    if (owner === parts.self) return;
    send(owner, { kind: 'pool-ask-again', ...buildFields(request, now) });
  }

  function resendRequest(request: PendingRequest, now: number): void {
    const { service, ask, owner } = request;
    if (owner !== undefined) send(owner, { kind: 'pool-withdraw', service, askId: ask.askId });
    sendSlotRequest(request, now);
  }

  function withdraw(askId: SlotRequestId): void {
    const request = pending.get(askId);
    if (request !== undefined) {
      pending.delete(askId);
      const { owner, service } = request;
      if (owner !== undefined) send(owner, { kind: 'pool-withdraw', service, askId });
      return;
    }
    const slot = activeSlots.get(askId);
    if (slot === undefined) return;
    activeSlots.delete(askId);
    send(slot.owner, { kind: 'pool-end', service: slot.service, askId, didFinish: false });
  }

  function handleGrant(
    from: VmId,
    message: Extract<OwnerReply, { kind: 'pool-grant' }>,
    now: number,
  ): void {
    const askId = message.askId as SlotRequestId;
    const request = pending.get(askId);
    if (request === undefined) {
      const slot = activeSlots.get(askId);
      // The first grant was on its way when the request was sent again.
      if (slot?.owner === from && slot.run.decode === message.decode) return;
      // The request has ended, or another owner granted it first.
      send(from, { kind: 'pool-end', service: message.service, askId, didFinish: false });
      return;
    }
    pending.delete(askId);
    const { service, ask: slotRequest, onReply } = request;
    const { prefill, decode, endsInMs, permits } = message;
    const assignment = {
      ask: slotRequest,
      decode,
      prefill,
      grantedAt: now,
      isLate: false,
      expectedEndAt: now + endsInMs,
    };
    activeSlots.set(askId, { service, run: assignment, owner: from, isPrefilled: false });
    onReply({ kind: 'granted', askId, prefill, decode, permits });
  }

  return {
    hasPending: () => pending.size > 0,
    handleRequest: (message, now) => {
      switch (message.kind) {
        case 'ask': {
          const { service, ask: slotRequest, hasRun, onReply } = message;
          const sendAgainAt = now + SEND_AGAIN_MS;
          const delivery = { owner: undefined, sentAt: now, isAcknowledged: false, sendAgainAt };
          const request = { service, ask: slotRequest, hasRun, onReply, ...delivery };
          pending.set(slotRequest.askId, request);
          if (now >= parts.linkedBy) sendSlotRequest(request, now);
          return;
        }
        case 'withdraw':
          withdraw(message.askId);
          return;
        case 'prefilled': {
          const slot = activeSlots.get(message.askId);
          if (slot === undefined || slot.isPrefilled) return;
          slot.isPrefilled = true;
          slot.run.prefill = undefined;
          const { askId } = message;
          send(slot.owner, { kind: 'pool-prefilled', service: slot.service, askId });
          return;
        }
        case 'end': {
          const slot = activeSlots.get(message.askId);
          if (slot === undefined) return;
          activeSlots.delete(message.askId);
          const { askId, didFinish, progress } = message;
          const { owner, service } = slot;
          send(owner, { kind: 'pool-end', service, askId, didFinish, progress });
          return;
        }
        case 'engine-failed': {
          const { service, upstreamId, failure } = message;
          const owner = chooseOwner(service, now);
          send(owner, { kind: 'pool-engine-failed', service, upstreamId, failure });
          return;
        }
        default:
          message satisfies never;
      }
    },
    handleAnswer: (from, message, now) => {
      const request = pending.get(message.askId as SlotRequestId);
      switch (message.kind) {
        case 'pool-queued':
          // A late one of an owner before says nothing of the owner that it was sent to since.
          if (request?.owner === from) request.isAcknowledged = true;
          return;
        case 'pool-grant':
          handleGrant(from, message, now);
          return;
        case 'pool-refuse': {
          if (request === undefined || request.owner !== from) return;
          const askId = message.askId as SlotRequestId;
          pending.delete(askId);
          const { reason, retryAfterMs } = message;
          request.onReply({ kind: 'refused', askId, reason, retryAfterMs });
          return;
        }
        default:
          message satisfies never;
      }
    },
    handleStop: (at, now) => {
      stopAt = at;
      for (const request of pending.values()) {
        if (!request.hasRun && now >= parts.linkedBy) resendRequest(request, now);
      }
    },
    checkOwners: (now) => {
      if (now < parts.linkedBy) return;
      for (const request of pending.values()) {
        const { owner, isAcknowledged, sentAt } = request;
        const isOverdue = !isAcknowledged && now - sentAt > ACK_TIMEOUT_MS;
        if (isOverdue && owner !== undefined) ownerSelector.recordTimeout(owner);
      }
      for (const service of ownerOf.keys()) chooseOwner(service, now);
      for (const request of pending.values()) {
        const { service, owner: before, ask } = request;
        if (before === undefined) {
          sendSlotRequest(request, now);
          continue;
        }
        if (before === ownerOf.get(service)) {
          if (now >= request.sendAgainAt) sendRequestAgain(request, before, now);
          continue;
        }
        logger.warn(
          { askId: ask.askId, before },
          'pools: slot request is sent to the owner that took the place of the previous one',
        );
        resendRequest(request, now);
      }
    },
  };
}
