/** Runs the quarantine of request contents that crash engines; suspects run one at a time. */

import {
  findContentStatus,
  handleQuarantineEvent,
  listQuarantined,
  listSuspects,
  makeQuarantineState,
  type DuplicateVerdict,
  type QuarantineAction,
} from '@tarragonspool/core';
import {
  assertNever,
  type Fingerprint,
  type PeerMessage,
  type Refusal,
  type RequestId,
  type SuspectRecord,
  type UpstreamId,
  type VmId,
} from '@tarragonspool/protocol';
import type { DuplicateInbox } from '../claims/duplicate-task.js';
import type { Logger } from '../logging/logger.js';
import type { Metrics } from '../metrics/metrics.js';
import { makeChannel, offer, receive, startTask, type Task } from '../tasks/tasks.js';
import type {
  ContentRequest,
  Quarantine,
  QuarantineMessage,
  SuspectStore,
} from './quarantine-types.js';

/** Dependencies of the quarantine task. */
export type QuarantineParts = {
  readonly quarantine: Quarantine;
  readonly duplicates: DuplicateInbox;
  readonly store: SuspectStore;
  /** Resolves to whether an engine's process accepts connections; true if that is unknown. */
  readonly probe: (upstreamId: UpstreamId) => Promise<boolean>;
  readonly broadcast: (message: PeerMessage) => void;
  readonly sendTo: (vmId: VmId, message: PeerMessage) => boolean;
  readonly metrics: Pick<Metrics, 'suspectContents'>;
  readonly logger: Pick<Logger, 'warn' | 'error'>;
};

const INBOX_CAPACITY = 4_096;
const RETRY_AFTER_MS = 1_000;
const GATE_KEY = 'suspects';

/** Makes the quarantine of one VM. */
export function makeQuarantine(): Quarantine {
  const inbox = makeChannel<QuarantineMessage>(INBOX_CAPACITY);
  return {
    state: makeQuarantineState(),
    inbox,
    pendingFailures: new Set(),
    trackedRequests: new Set(),
  };
}

function refuseContent(request: ContentRequest, name: Refusal['name'], retryAt: number): void {
  const detail =
    name === 'quarantined'
      ? 'this content crashed upstreams; ask an operator to release it or wait'
      : 'a content that may crash upstreams is running; retry later';
  request.onVerdict({ kind: 'refuse', refusal: { name, ran: 'not-run', detail, retryAt } });
}

/** Lets a clear content run at once; otherwise `onVerdict` is called once the task has decided. */
export function requestContentVerdict(quarantine: Quarantine, request: ContentRequest): void {
  const { kind } = findContentStatus(quarantine.state, request.fingerprint, Date.now());
  if (kind === 'clear' && !quarantine.pendingFailures.has(request.fingerprint)) {
    request.onVerdict({ kind: 'run' });
    return;
  }
  quarantine.trackedRequests.add(request.requestId);
  if (offer(quarantine.inbox, { kind: 'ask', ask: request })) return;
  refuseContent(request, 'suspect-running', Date.now() + RETRY_AFTER_MS);
}

/** Notifies the quarantine that the connection of an order broke. */
export function notifyOrderFailed(
  quarantine: Quarantine,
  upstreamId: UpstreamId,
  fingerprint: Fingerprint,
  hasTokens: boolean,
): void {
  const now = Date.now();
  // The request may be retried before the task has handled the failure event.
  quarantine.pendingFailures.add(fingerprint);
  const event = { kind: 'broken', upstreamId, fingerprint, hasTokens, now } as const;
  offer(quarantine.inbox, { kind: 'event', event });
}

/** Treats the cancelled order of a suspect as failed: it may still crash the engine. */
export function notifyOrderCancelled(
  quarantine: Quarantine,
  upstreamId: UpstreamId,
  fingerprint: Fingerprint,
): void {
  const { kind } = findContentStatus(quarantine.state, fingerprint, Date.now());
  if (kind !== 'clear') notifyOrderFailed(quarantine, upstreamId, fingerprint, false);
}

/** Notifies the quarantine that a request has ended. */
export function notifyRequestEnded(
  quarantine: Quarantine,
  requestId: RequestId,
  fingerprint: Fingerprint,
  isAnswered: boolean,
): void {
  if (isAnswered && quarantine.state.suspects.has(fingerprint)) {
    const event = { kind: 'succeeded', fingerprint, now: Date.now() } as const;
    offer(quarantine.inbox, { kind: 'event', event });
  }
  if (quarantine.trackedRequests.delete(requestId)) {
    offer(quarantine.inbox, { kind: 'request-ended', requestId });
  }
}

/** Lists contents in quarantine, for operators. */
export function listQuarantine(quarantine: Quarantine): SuspectRecord[] {
  return listQuarantined(quarantine.state, Date.now());
}

/** Releases a content from quarantine; false if it is no suspect or the inbox is full. */
export function releaseContent(quarantine: Quarantine, fingerprint: Fingerprint): boolean {
  if (!quarantine.state.suspects.has(fingerprint)) return false;
  const event = { kind: 'released', fingerprint, now: Date.now() } as const;
  return offer(quarantine.inbox, { kind: 'event', event });
}

/**
 * Admits one suspect at a time across VMs: closed, requested from the duplicate guard, open to
 * the next request of this VM, or held by one.
 */
type Gate =
  | { readonly kind: 'closed' }
  | { readonly kind: 'asking' }
  | { readonly kind: 'open' }
  | {
      readonly kind: 'held';
      readonly requestId: RequestId;
      readonly fingerprint: Fingerprint;
      /** Whether the request has ended and only the verdict on its content is awaited. */
      readonly hasEnded: boolean;
    };

type QuarantineContext = { readonly parts: QuarantineParts; gate: Gate; waiting: ContentRequest[] };

function startProbe({ parts }: QuarantineContext, upstreamId: UpstreamId): void {
  const { quarantine, probe, logger } = parts;
  probe(upstreamId)
    .then((isAlive) => {
      const event = { kind: 'probed', upstreamId, isAlive, now: Date.now() } as const;
      offer(quarantine.inbox, { kind: 'event', event });
    })
    .catch((error: unknown) => logger.error({ err: error }, 'quarantine: probe failed'));
}

function performAction(context: QuarantineContext, action: QuarantineAction): void {
  const { parts } = context;
  switch (action.kind) {
    case 'probe':
      startProbe(context, action.upstreamId);
      return;
    case 'publish':
      parts.broadcast({ kind: 'suspects', items: action.items });
      for (const { fingerprint, crashes, lastUpstream } of action.items) {
        parts.metrics.suspectContents.inc({ change: crashes === 0 ? 'cleared' : 'blamed' });
        parts.logger.warn(
          { fingerprint, crashes, lastUpstream },
          'quarantine: crash count of a content changed',
        );
      }
      return;
    case 'store':
      if (action.isOwn) parts.store.put(action.record);
      return;
    case 'remove':
      parts.store.remove(action.fingerprint);
      return;
    case 'crashed':
      // Orders of this interface name no parts of prompts.
      return;
    case 'vouch':
      parts.broadcast({ kind: 'suspects', items: [action.record] });
      return;
    default:
      assertNever(action);
  }
}

function openGate(context: QuarantineContext): void {
  const { duplicates, quarantine } = context.parts;
  const reply = makeChannel<DuplicateVerdict>(1);
  if (!offer(duplicates, { kind: 'check', requestKey: GATE_KEY, reply })) return;
  context.gate = { kind: 'asking' };
  startTask(
    'suspect gate',
    function* waitForGate() {
      const verdict = (yield* receive(reply)) ?? 'unchecked';
      offer(quarantine.inbox, { kind: 'gate-answered', verdict });
    },
    () => undefined,
  );
}

function closeGate(context: QuarantineContext): void {
  context.gate = { kind: 'closed' };
  offer(context.parts.duplicates, { kind: 'end', requestKey: GATE_KEY });
}

function admitSuspect(context: QuarantineContext, request: ContentRequest): boolean {
  const { gate } = context;
  const isHolder = gate.kind === 'held' && gate.requestId === request.requestId;
  if (gate.kind === 'closed') openGate(context);
  if (gate.kind !== 'open' && !isHolder) return false;
  const { requestId, fingerprint } = request;
  context.gate = { kind: 'held', requestId, fingerprint, hasEnded: false };
  request.onVerdict({ kind: 'run' });
  return true;
}

/** Answers a request if a verdict can be given now; returns whether it did. */
function answerRequest(context: QuarantineContext, request: ContentRequest, now: number): boolean {
  const status = findContentStatus(context.parts.quarantine.state, request.fingerprint, now);
  switch (status.kind) {
    case 'clear':
      request.onVerdict({ kind: 'run' });
      return true;
    case 'quarantined':
      refuseContent(request, 'quarantined', status.expiresAt);
      return true;
    case 'suspect':
    case 'in-doubt':
      if (status.kind === 'suspect' && admitSuspect(context, request)) return true;
      if (now < request.deadline) return false;
      refuseContent(request, 'suspect-running', now + RETRY_AFTER_MS);
      return true;
    default:
      return assertNever(status);
  }
}

/** Closes the gate once its request has ended and its content is no longer in doubt. */
function releaseGate(context: QuarantineContext, now: number): void {
  const { gate, parts } = context;
  if (gate.kind !== 'held' || !gate.hasEnded) return;
  const status = findContentStatus(parts.quarantine.state, gate.fingerprint, now);
  if (status.kind !== 'in-doubt') closeGate(context);
}

function answerWaitingRequests(context: QuarantineContext, now: number): void {
  releaseGate(context, now);
  context.waiting = context.waiting.filter((request) => !answerRequest(context, request, now));
  if (context.gate.kind === 'open') closeGate(context);
}

function handleMessage(context: QuarantineContext, message: QuarantineMessage): void {
  const { parts } = context;
  switch (message.kind) {
    case 'event':
      if (message.event.kind === 'broken') {
        parts.quarantine.pendingFailures.delete(message.event.fingerprint);
      }
      for (const action of handleQuarantineEvent(parts.quarantine.state, message.event)) {
        performAction(context, action);
      }
      return;
    case 'ask':
      context.waiting.push(message.ask);
      return;
    case 'request-ended': {
      const { requestId } = message;
      context.waiting = context.waiting.filter((request) => request.requestId !== requestId);
      const { gate } = context;
      if (gate.kind === 'held' && gate.requestId === requestId) {
        context.gate = { ...gate, hasEnded: true };
      }
      return;
    }
    case 'gate-answered':
      context.gate = { kind: message.verdict === 'first' ? 'open' : 'closed' };
      return;
    case 'link-opened': {
      const items = listSuspects(parts.quarantine.state);
      if (items.length > 0) parts.sendTo(message.vmId, { kind: 'suspects', items });
      return;
    }
    default:
      assertNever(message);
  }
}

/** Returns whether waiting requests may be answered after a message. */
function canAnswerWaiting(message: QuarantineMessage): boolean {
  // A gate that was just refused is requested again after a later message, not in a loop.
  if (message.kind === 'gate-answered') return message.verdict === 'first';
  return message.kind !== 'link-opened';
}

/** Runs the quarantine task until its inbox closes. */
export function* runQuarantine(parts: QuarantineParts): Task {
  const context: QuarantineContext = { parts, gate: { kind: 'closed' }, waiting: [] };
  for (;;) {
    const message = yield* receive(parts.quarantine.inbox);
    if (message === undefined) return;
    const now = Date.now();
    handleMessage(context, message);
    if (canAnswerWaiting(message)) answerWaitingRequests(context, now);
  }
}
