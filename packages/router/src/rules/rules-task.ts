/** Hosts rule distribution: carries its calls to the platform and its messages to peers. */

import {
  handleRulesEvent,
  makeRulesState,
  renderDocument,
  type EditOutcome,
  type RuleEdit,
  type RulesAction,
  type RulesEvent,
  type RulesState,
} from '@tarragonspool/core';
import type { ObjectClient, TableClient } from '@tarragonspool/platform';
import { assertNever, type EditId, type PeerMessage, type VmId } from '@tarragonspool/protocol';
import type { Invariants } from '../invariants/invariants.js';
import type { Logger } from '../logging/logger.js';
import type { MembershipInbox } from '../membership/membership-task.js';
import type { Metrics } from '../metrics/metrics.js';
import { makeChannel, offer, receive, type Channel, type Task } from '../tasks/tasks.js';
import type { RulesView } from './rules-view.js';

/** What the rules task receives. */
export type RulesMessage =
  | RulesEvent
  | { readonly kind: 'edit'; readonly edit: RuleEdit; readonly outcome: Channel<EditOutcome> };

/** Inbox of the rules task. */
export type RulesInbox = Channel<RulesMessage>;

/** What the rules task works with. */
export type RulesParts = {
  readonly view: RulesView;
  readonly table: TableClient;
  readonly objects: ObjectClient;
  readonly membership: MembershipInbox;
  readonly metrics: Metrics;
  readonly invariants: Invariants;
  readonly logger: Logger;
  readonly seed: number;
  readonly broadcast: (message: PeerMessage) => void;
  readonly sendTo: (vmId: VmId, message: PeerMessage) => void;
};

type Running = {
  readonly parts: RulesParts;
  readonly inbox: RulesInbox;
  readonly outcomes: Map<EditId, Channel<EditOutcome>[]>;
};

const INBOX_CAPACITY = 1_024;
const CALL_TIMEOUT_MS = 2_000;

/** Makes the inbox of the rules task. */
export function makeRulesInbox(): RulesInbox {
  return makeChannel<RulesMessage>(INBOX_CAPACITY);
}

function getDeadline(): number {
  return Date.now() + CALL_TIMEOUT_MS;
}

/** Hands the event that a call resolves with to the machine. */
function awaitEvent(running: Running, promise: Promise<RulesEvent>): void {
  promise
    .then((event) => offer(running.inbox, event))
    .catch((error: unknown) => running.parts.logger.error({ err: error }, 'rules: call failed'));
}

function callPlatform(running: Running, action: RulesAction): boolean {
  const { table, objects } = running.parts;
  switch (action.kind) {
    case 'read-rows': {
      const { callId, keys } = action;
      const read = table.readRows(keys, getDeadline());
      const toEvent = read.then((result): RulesEvent => ({
        kind: 'rows-read',
        callId,
        result,
        now: Date.now(),
      }));
      awaitEvent(running, toEvent);
      return true;
    }
    case 'read-object': {
      const { callId, key } = action;
      const toEvent = objects.getObject(key, getDeadline()).then((result): RulesEvent => {
        const text = result.kind === 'object' ? result.text : undefined;
        return { kind: 'object-read', callId, text, now: Date.now() };
      });
      awaitEvent(running, toEvent);
      return true;
    }
    case 'delete-object':
      objects.deleteObject(action.key, getDeadline()).catch(() => undefined);
      return true;
    case 'put-object': {
      const { callId, key, text } = action;
      const toEvent = objects.putObject(key, text, getDeadline()).then((isStored): RulesEvent => ({
        kind: 'object-put',
        callId,
        isStored,
        now: Date.now(),
      }));
      awaitEvent(running, toEvent);
      return true;
    }
    case 'transact': {
      const { callId, writes } = action;
      const toEvent = table
        .transact(writes, getDeadline())
        .then((result): RulesEvent => ({ kind: 'transacted', callId, result, now: Date.now() }));
      awaitEvent(running, toEvent);
      return true;
    }
    default:
      return false;
  }
}

function putInForce(
  parts: RulesParts,
  action: Extract<RulesAction, { kind: 'put-in-force' }>,
): void {
  const { view, metrics, logger, membership } = parts;
  const { document } = action;
  const { revision, ruleSet } = document;
  Object.assign(view, { document, revision, ruleSet });
  metrics.rulesRevision.set(revision);
  offer(membership, { kind: 'drained', upstreamIds: ruleSet.drainedUpstreams, now: Date.now() });
  logger.info({ revision, lines: document.lines.length }, 'rules: revision in force');
}

function answerEdit(running: Running, action: Extract<RulesAction, { kind: 'answer-edit' }>): void {
  const { editId, outcome } = action;
  running.parts.logger.info({ editId, outcome: outcome.kind }, 'rules: edit answered');
  for (const channel of running.outcomes.get(editId) ?? []) offer(channel, outcome);
  running.outcomes.delete(editId);
}

function performAction(running: Running, action: RulesAction): void {
  if (callPlatform(running, action)) return;
  const { parts } = running;
  switch (action.kind) {
    case 'put-in-force':
      putInForce(parts, action);
      return;
    case 'broadcast-deltas':
      parts.broadcast({ kind: 'rules-deltas', deltas: action.deltas });
      return;
    case 'broadcast-file': {
      const { document } = action;
      const text = renderDocument(document);
      parts.broadcast({ kind: 'rules', revision: document.revision, text });
      return;
    }
    case 'send-deltas':
      parts.sendTo(action.vmId, { kind: 'rules-deltas', deltas: action.deltas });
      return;
    case 'send-file': {
      const { document, vmId } = action;
      const text = renderDocument(document);
      parts.sendTo(vmId, { kind: 'rules', revision: document.revision, text });
      return;
    }
    case 'want-rules':
      parts.sendTo(action.vmId, { kind: 'rules-wanted', afterRevision: action.afterRevision });
      return;
    case 'answer-edit':
      answerEdit(running, action);
      return;
    case 'report-violation':
      parts.invariants.assert(false, action.invariant, { detail: action.detail });
      return;
    case 'read-rows':
    case 'read-object':
    case 'put-object':
    case 'delete-object':
    case 'transact':
      return;
    default:
      assertNever(action);
  }
}

function handleMessage(running: Running, state: RulesState, message: RulesMessage): RulesAction[] {
  if (message.kind !== 'edit') return handleRulesEvent(state, message);
  const { edit, outcome } = message;
  const channels = running.outcomes.get(edit.editId) ?? [];
  running.outcomes.set(edit.editId, [...channels, outcome]);
  return handleRulesEvent(state, { kind: 'edit-requested', edit, now: Date.now() });
}

/** Runs until the inbox closes. */
export function* runRules(inbox: RulesInbox, parts: RulesParts): Task {
  const state = makeRulesState(parts.seed);
  const running: Running = { parts, inbox, outcomes: new Map() };
  const { view } = parts;
  for (;;) {
    const message = yield* receive(inbox);
    if (message === undefined) return;
    for (const action of handleMessage(running, state, message)) performAction(running, action);
    view.admitUntil = state.admitUntil;
  }
}
