/** Owns the quarantine of contents that crash engines; lets suspects run one at a time. */

import {
  findContentStatus,
  handleQuarantineEvent,
  listQuarantined,
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
  ContentAsk,
  Quarantine,
  QuarantineMessage,
  SuspectStore,
} from './quarantine-types.js';

/** What the quarantine task works with. */
export type QuarantineParts = {
  readonly quarantine: Quarantine;
  readonly duplicates: DuplicateInbox;
  readonly store: SuspectStore;
  /** Whether an engine's process takes connections; true while that is not known. */
  readonly probe: (upstreamId: UpstreamId) => Promise<boolean>;
  readonly broadcast: (message: PeerMessage) => void;
  readonly sendTo: (vmId: VmId, message: PeerMessage) => boolean;
  readonly metrics: Pick<Metrics, 'suspectContents'>;
  readonly logger: Pick<Logger, 'warn' | 'error'>;
};

const INBOX_CAPACITY = 4_096;
const RETRY_AFTER_MS = 1_000;
const PROBE_DELAY_MS = 150;
const GATE_KEY = 'suspects';

/** Makes the quarantine of one VM. */
export function makeQuarantine(): Quarantine {
  const inbox = makeChannel<QuarantineMessage>(INBOX_CAPACITY);
  return { state: makeQuarantineState(), inbox, doubted: new Set(), asked: new Set() };
}

function refuseContent(ask: ContentAsk, name: Refusal['name'], retryAt: number): void {
  const detail =
    name === 'quarantined'
      ? 'this content crashed upstreams; ask an operator to release it or wait'
      : 'a content that may crash upstreams is running; this one waits for its turn';
  ask.onVerdict({ kind: 'refuse', refusal: { name, ran: 'not-run', detail, retryAt } });
}

/** Lets a content run, at once if it is clear; else answers when it is its turn or refused. */
export function answerContent(quarantine: Quarantine, ask: ContentAsk): void {
  const { kind } = findContentStatus(quarantine.state, ask.fingerprint, Date.now());
  if (kind === 'clear' && !quarantine.doubted.has(ask.fingerprint)) {
    ask.onVerdict({ kind: 'run' });
    return;
  }
  quarantine.asked.add(ask.requestId);
  if (offer(quarantine.inbox, { kind: 'ask', ask })) return;
  refuseContent(ask, 'suspect-running', Date.now() + RETRY_AFTER_MS);
}

/** Tells the quarantine that an order broke off. */
export function notifyBroken(
  quarantine: Quarantine,
  upstreamId: UpstreamId,
  fingerprint: Fingerprint,
  hasTokens: boolean,
): void {
  const now = Date.now();
  // The retry of the request asks before the task has heard of the failure.
  quarantine.doubted.add(fingerprint);
  const event = { kind: 'broken', upstreamId, fingerprint, hasTokens, now } as const;
  offer(quarantine.inbox, { kind: 'event', event });
}

/** Tells the quarantine of a cancelled order: a suspect may still crash the engine. */
export function notifyCancelled(
  quarantine: Quarantine,
  upstreamId: UpstreamId,
  fingerprint: Fingerprint,
): void {
  const { kind } = findContentStatus(quarantine.state, fingerprint, Date.now());
  if (kind !== 'clear') notifyBroken(quarantine, upstreamId, fingerprint, false);
}

/** Tells the quarantine that a request has ended. */
export function notifyEnded(
  quarantine: Quarantine,
  requestId: RequestId,
  fingerprint: Fingerprint,
  isAnswered: boolean,
): void {
  if (isAnswered && quarantine.state.suspects.has(fingerprint)) {
    const event = { kind: 'succeeded', fingerprint, now: Date.now() } as const;
    offer(quarantine.inbox, { kind: 'event', event });
  }
  if (quarantine.asked.delete(requestId)) {
    offer(quarantine.inbox, { kind: 'request-ended', requestId });
  }
}

/** Lists contents in quarantine, for operators. */
export function listQuarantine(quarantine: Quarantine): SuspectRecord[] {
  return listQuarantined(quarantine.state, Date.now());
}

/** Releases a content; false if it is not in quarantine. */
export function releaseContent(quarantine: Quarantine, fingerprint: Fingerprint): boolean {
  if (!quarantine.state.suspects.has(fingerprint)) return false;
  const event = { kind: 'released', fingerprint, now: Date.now() } as const;
  return offer(quarantine.inbox, { kind: 'event', event });
}

/** Who may run a suspect: nobody, a VM that has asked, or one request of this VM. */
type Gate =
  | { readonly kind: 'closed' }
  | { readonly kind: 'asking' }
  | { readonly kind: 'open' }
  | {
      readonly kind: 'held';
      readonly requestId: RequestId;
      readonly fingerprint: Fingerprint;
      /** Whether the request is over and only its judgement is awaited. */
      readonly isOver: boolean;
    };

type Running = { readonly parts: QuarantineParts; gate: Gate; waiting: ContentAsk[] };

function waitUntilProbe(): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, PROBE_DELAY_MS);
  });
}

function startProbe({ parts }: Running, upstreamId: UpstreamId): void {
  const { quarantine, probe, logger } = parts;
  // An order that was cancelled may crash the engine a little later; one that broke off may have
  // crashed an engine that is back by then.
  Promise.all([probe(upstreamId), waitUntilProbe().then(() => probe(upstreamId))])
    .then((probes) => {
      const isAlive = probes.every(Boolean);
      const event = { kind: 'probed', upstreamId, isAlive, now: Date.now() } as const;
      offer(quarantine.inbox, { kind: 'event', event });
    })
    .catch((error: unknown) => logger.error({ err: error }, 'quarantine: probe failed'));
}

function performAction(running: Running, action: QuarantineAction): void {
  const { parts } = running;
  switch (action.kind) {
    case 'probe':
      startProbe(running, action.upstreamId);
      return;
    case 'publish':
      parts.broadcast({ kind: 'suspects', items: action.items });
      for (const { fingerprint, crashes, lastUpstream } of action.items) {
        parts.metrics.suspectContents.inc({ change: crashes === 0 ? 'cleared' : 'blamed' });
        parts.logger.warn({ fingerprint, crashes, lastUpstream }, 'quarantine: content judged');
      }
      return;
    case 'store':
      parts.store.put(action.record);
      return;
    case 'remove':
      parts.store.remove(action.fingerprint);
      return;
    default:
      assertNever(action);
  }
}

function openGate(running: Running): void {
  const { duplicates, quarantine } = running.parts;
  const reply = makeChannel<DuplicateVerdict>(1);
  if (!offer(duplicates, { kind: 'check', requestKey: GATE_KEY, reply })) return;
  running.gate = { kind: 'asking' };
  startTask(
    'suspect gate',
    function* waitForGate() {
      const verdict = (yield* receive(reply)) ?? 'unchecked';
      offer(quarantine.inbox, { kind: 'gate-answered', verdict });
    },
    () => undefined,
  );
}

function closeGate(running: Running): void {
  running.gate = { kind: 'closed' };
  offer(running.parts.duplicates, { kind: 'end', requestKey: GATE_KEY });
}

function runSuspect(running: Running, ask: ContentAsk): boolean {
  const { gate } = running;
  const isHolder = gate.kind === 'held' && gate.requestId === ask.requestId;
  if (gate.kind === 'closed') openGate(running);
  if (gate.kind !== 'open' && !isHolder) return false;
  const { requestId, fingerprint } = ask;
  running.gate = { kind: 'held', requestId, fingerprint, isOver: false };
  ask.onVerdict({ kind: 'run' });
  return true;
}

/** Answers an ask if that can be done now. */
function answerAsk(running: Running, ask: ContentAsk, now: number): boolean {
  const standing = findContentStatus(running.parts.quarantine.state, ask.fingerprint, now);
  switch (standing.kind) {
    case 'clear':
      ask.onVerdict({ kind: 'run' });
      return true;
    case 'quarantined':
      refuseContent(ask, 'quarantined', standing.expiresAt);
      return true;
    case 'suspect':
    case 'in-doubt':
      if (standing.kind === 'suspect' && runSuspect(running, ask)) return true;
      if (now < ask.deadline) return false;
      refuseContent(ask, 'suspect-running', now + RETRY_AFTER_MS);
      return true;
    default:
      return assertNever(standing);
  }
}

/** Frees the gate once its request is over and a crash it may have caused has been judged. */
function freeGate(running: Running, now: number): void {
  const { gate, parts } = running;
  if (gate.kind !== 'held' || !gate.isOver) return;
  const standing = findContentStatus(parts.quarantine.state, gate.fingerprint, now);
  if (standing.kind !== 'in-doubt') closeGate(running);
}

function answerWaiting(running: Running, now: number): void {
  freeGate(running, now);
  running.waiting = running.waiting.filter((ask) => !answerAsk(running, ask, now));
  if (running.gate.kind === 'open') closeGate(running);
}

function handleMessage(running: Running, message: QuarantineMessage): void {
  const { parts } = running;
  switch (message.kind) {
    case 'event':
      if (message.event.kind === 'broken') {
        parts.quarantine.doubted.delete(message.event.fingerprint);
      }
      for (const action of handleQuarantineEvent(parts.quarantine.state, message.event)) {
        performAction(running, action);
      }
      return;
    case 'ask':
      running.waiting.push(message.ask);
      return;
    case 'request-ended': {
      const { requestId } = message;
      running.waiting = running.waiting.filter((ask) => ask.requestId !== requestId);
      const { gate } = running;
      if (gate.kind === 'held' && gate.requestId === requestId) {
        running.gate = { ...gate, isOver: true };
      }
      return;
    }
    case 'gate-answered':
      running.gate = { kind: message.verdict === 'first' ? 'open' : 'closed' };
      return;
    case 'link-opened': {
      const items = [...parts.quarantine.state.suspects.values()];
      if (items.length > 0) parts.sendTo(message.vmId, { kind: 'suspects', items });
      return;
    }
    default:
      assertNever(message);
  }
}

/** Whether waiting requests may be answered after a message. */
function isWaking(message: QuarantineMessage): boolean {
  // A gate that just closed is asked again at the next tick, not in a loop.
  if (message.kind === 'gate-answered') return message.verdict === 'first';
  return message.kind !== 'link-opened';
}

/** Runs until the inbox closes. */
export function* runQuarantine(parts: QuarantineParts): Task {
  const running: Running = { parts, gate: { kind: 'closed' }, waiting: [] };
  for (;;) {
    const message = yield* receive(parts.quarantine.inbox);
    if (message === undefined) return;
    const now = Date.now();
    handleMessage(running, message);
    if (isWaking(message)) answerWaiting(running, now);
  }
}
