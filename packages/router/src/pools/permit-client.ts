/** Gets permits for requests of this VM from the VM that keeps them. */

import type { PermitMessage, VmId } from '@tarragonspool/protocol';
import type { Logger } from '../logging/logger.js';
import type { OwnerSelector } from './owners.js';
import type { PermitReply, PermitRequest, PermitRequestId } from './permit-messages.js';

/** Answer of the VM that keeps the permits. */
export type PermitAnswer = Extract<PermitMessage, { kind: 'permit-answer' }>;

/** The permit client of this VM. */
export type PermitClient = {
  readonly handleRequest: (request: PermitRequest, now: number) => void;
  readonly handleAnswer: (from: VmId, answer: PermitAnswer, now: number) => void;
  readonly hasPending: () => boolean;
  /** Ends the requests whose keeper is silent: without its word nothing is sent. */
  readonly checkKeepers: (now: number) => void;
};

/** Dependencies of the permit client. */
export type PermitClientParts = {
  readonly self: VmId;
  readonly ownerSelector: OwnerSelector;
  readonly send: (to: VmId, message: PermitMessage) => void;
  readonly logger: Logger;
};

type PendingPermit = {
  readonly request: PermitRequest;
  readonly keeper: VmId;
  readonly answerDueAt: number;
};

/** A live keeper answers within this time. */
const ANSWER_TIMEOUT_MS = 120;
/** The next keeper is known after this time, if this one is gone. */
const RETRY_AFTER_SILENCE_MS = 300;

/** Makes the permit client. */
export function makePermitClient(parts: PermitClientParts): PermitClient {
  const { self, ownerSelector, send, logger } = parts;
  const pending = new Map<PermitRequestId, PendingPermit>();

  return {
    hasPending: () => pending.size > 0,
    handleRequest: (request, now) => {
      const { permitRequestId, ranking, servers, latestAt } = request;
      const keeper = ownerSelector.chooseOwner(ranking, now);
      const answerDueAt = now + ANSWER_TIMEOUT_MS;
      pending.set(permitRequestId, { request, keeper, answerDueAt });
      const latestInMs = Math.max(0, latestAt - now);
      const message = { ranking, requestId: permitRequestId, servers, latestInMs };
      send(keeper, { kind: 'permit-request', ...message });
    },
    handleAnswer: (from, { requestId, upstreamId, inMs }, now) => {
      const permitRequestId = requestId as PermitRequestId;
      const found = pending.get(permitRequestId);
      if (found?.keeper !== from) return;
      pending.delete(permitRequestId);
      const { onReply } = found.request;
      if (upstreamId === undefined) {
        onReply({ kind: 'not-permitted', permitRequestId, retryAt: now + inMs });
        return;
      }
      const reply: PermitReply = { kind: 'permitted', permitRequestId, upstreamId };
      if (inMs <= 0) onReply(reply);
      else setTimeout(() => onReply(reply), inMs);
    },
    checkKeepers: (now) => {
      for (const [permitRequestId, { request, keeper, answerDueAt }] of pending) {
        if (answerDueAt > now) continue;
        pending.delete(permitRequestId);
        if (keeper !== self) ownerSelector.recordTimeout(keeper);
        logger.warn({ permitRequestId, keeper }, 'permits: keeper does not answer');
        const retryAt = now + RETRY_AFTER_SILENCE_MS;
        request.onReply({ kind: 'not-permitted', permitRequestId, retryAt });
      }
    },
  };
}
