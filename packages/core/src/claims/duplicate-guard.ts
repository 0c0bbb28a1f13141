/**
 * Lets one submission of a request id that the caller chose run at a time, whichever VM it came to.
 * Rendezvous hashing names the VM that keeps the id; if that VM stays silent, the next one does.
 * Nothing is written to the table. Decides only. Times are milliseconds since the epoch.
 */

import { assertNever, type Incarnation, type VmId } from '@tarragonspool/protocol';
import { findOwner } from '../hashing/rendezvous.js';

/** Digest of caller and request id. */
export type RequestKey = string;

/** What became of a check. `unchecked`: neither owner answered in time. */
export type DuplicateVerdict = 'first' | 'running' | 'unchecked';

/** What owners and holders say to each other. */
export type DuplicateMessage =
  | { readonly kind: 'request-started'; readonly requestKey: RequestKey }
  | { readonly kind: 'request-ended'; readonly requestKey: RequestKey }
  | {
      readonly kind: 'request-verdict';
      readonly requestKey: RequestKey;
      readonly isFirst: boolean;
    };

/** One run of the daemon on a VM. */
export type VmRun = { readonly vmId: VmId; readonly incarnation: Incarnation };

/** What the guard hears. */
export type DuplicateEvent =
  | { readonly kind: 'checked'; readonly requestKey: RequestKey; readonly now: number }
  | { readonly kind: 'ended'; readonly requestKey: RequestKey; readonly now: number }
  | {
      readonly kind: 'peer-said';
      readonly from: VmRun;
      readonly message: DuplicateMessage;
      readonly now: number;
    }
  | {
      readonly kind: 'ticked';
      /** VMs that may keep request ids. */
      readonly liveVms: readonly VmId[];
      /** VMs that may still run requests: those that are alive, leaving or not. */
      readonly aliveVms: readonly VmId[];
      readonly now: number;
    };

/** What the host must do. */
export type DuplicateAction =
  | { readonly kind: 'send'; readonly vmId: VmId; readonly message: DuplicateMessage }
  | {
      readonly kind: 'answer';
      readonly requestKey: RequestKey;
      readonly verdict: DuplicateVerdict;
    };

type OwnRequest =
  | {
      readonly step: 'asking';
      readonly owner: VmId;
      readonly isSecondOwner: boolean;
      readonly deadline: number;
    }
  | { readonly step: 'running'; readonly owner: VmId };

/** Whole state of the guard on one VM. */
export type DuplicateState = {
  readonly self: VmRun;
  liveVms: readonly VmId[];
  aliveVms: readonly VmId[];
  /** Requests of this VM. */
  readonly own: Map<RequestKey, OwnRequest>;
  /** Requests that this VM keeps for all, with the VM that runs each. */
  readonly kept: Map<RequestKey, VmRun>;
};

const ANSWER_TIMEOUT_MS = 150;
const MAX_KEPT = 200_000;

/** Makes the state of the guard. */
export function makeDuplicateState(self: VmRun): DuplicateState {
  return { self, liveVms: [self.vmId], aliveVms: [self.vmId], own: new Map(), kept: new Map() };
}

function keepRequest(state: DuplicateState, requestKey: RequestKey, from: VmRun): boolean {
  const known = state.kept.get(requestKey);
  const isSame = known?.vmId === from.vmId;
  const isGone = known !== undefined && !state.aliveVms.includes(known.vmId);
  if (known !== undefined && !isSame && !isGone) return false;
  if (known === undefined && state.kept.size >= MAX_KEPT) return false;
  state.kept.set(requestKey, from);
  return true;
}

function releaseRequest(state: DuplicateState, requestKey: RequestKey, from: VmRun): void {
  const known = state.kept.get(requestKey);
  if (known?.vmId === from.vmId && known.incarnation === from.incarnation) {
    state.kept.delete(requestKey);
  }
}

function settle(
  state: DuplicateState,
  requestKey: RequestKey,
  owner: VmId,
  isFirst: boolean,
): DuplicateAction[] {
  if (isFirst) state.own.set(requestKey, { step: 'running', owner });
  else state.own.delete(requestKey);
  return [{ kind: 'answer', requestKey, verdict: isFirst ? 'first' : 'running' }];
}

function askOwner(
  state: DuplicateState,
  requestKey: RequestKey,
  excluded: VmId | undefined,
  now: number,
): DuplicateAction[] {
  const candidates = state.liveVms.filter((vmId) => vmId !== excluded);
  const owner = findOwner(candidates, requestKey) ?? state.self.vmId;
  if (owner === state.self.vmId) {
    return settle(state, requestKey, owner, keepRequest(state, requestKey, state.self));
  }
  const isSecondOwner = excluded !== undefined;
  const deadline = now + ANSWER_TIMEOUT_MS;
  state.own.set(requestKey, { step: 'asking', owner, isSecondOwner, deadline });
  return [{ kind: 'send', vmId: owner, message: { kind: 'request-started', requestKey } }];
}

function checkRequest(
  state: DuplicateState,
  requestKey: RequestKey,
  now: number,
): DuplicateAction[] {
  return askOwner(state, requestKey, undefined, now);
}

function endRequest(state: DuplicateState, requestKey: RequestKey): DuplicateAction[] {
  const own = state.own.get(requestKey);
  state.own.delete(requestKey);
  if (own === undefined) return [];
  if (own.owner === state.self.vmId) {
    releaseRequest(state, requestKey, state.self);
    return [];
  }
  return [{ kind: 'send', vmId: own.owner, message: { kind: 'request-ended', requestKey } }];
}

function handleMessage(
  state: DuplicateState,
  from: VmRun,
  message: DuplicateMessage,
): DuplicateAction[] {
  const { requestKey } = message;
  switch (message.kind) {
    case 'request-started': {
      const isFirst = keepRequest(state, requestKey, from);
      const reply: DuplicateMessage = { kind: 'request-verdict', requestKey, isFirst };
      return [{ kind: 'send', vmId: from.vmId, message: reply }];
    }
    case 'request-ended':
      releaseRequest(state, requestKey, from);
      return [];
    case 'request-verdict': {
      const own = state.own.get(requestKey);
      if (own?.step !== 'asking' || own.owner !== from.vmId) return [];
      return settle(state, requestKey, from.vmId, message.isFirst);
    }
    default:
      return assertNever(message);
  }
}

/** Asks the next owner for requests whose owner stays silent; gives up after the second. */
function handleSilence(state: DuplicateState, now: number): DuplicateAction[] {
  const actions: DuplicateAction[] = [];
  for (const [requestKey, own] of [...state.own]) {
    if (own.step !== 'asking' || now < own.deadline) continue;
    // The silent owner may have heard the question and must not keep the id.
    const message: DuplicateMessage = { kind: 'request-ended', requestKey };
    actions.push({ kind: 'send', vmId: own.owner, message });
    if (own.isSecondOwner) {
      state.own.delete(requestKey);
      actions.push({ kind: 'answer', requestKey, verdict: 'unchecked' });
    } else actions.push(...askOwner(state, requestKey, own.owner, now));
  }
  return actions;
}

/** Tells new owners about running requests after the set of live VMs changed. */
function announceRunning(state: DuplicateState): DuplicateAction[] {
  const actions: DuplicateAction[] = [];
  for (const [requestKey, own] of state.own) {
    if (own.step !== 'running') continue;
    const owner = findOwner(state.liveVms, requestKey);
    if (owner === undefined || owner === own.owner) continue;
    state.own.set(requestKey, { step: 'running', owner });
    if (owner === state.self.vmId) {
      keepRequest(state, requestKey, state.self);
      continue;
    }
    const message: DuplicateMessage = { kind: 'request-started', requestKey };
    actions.push({ kind: 'send', vmId: owner, message });
  }
  return actions;
}

function isSameList(a: readonly VmId[], b: readonly VmId[]): boolean {
  return a.length === b.length && a.every((vmId) => b.includes(vmId));
}

function applyVms(
  state: DuplicateState,
  { liveVms, aliveVms }: Extract<DuplicateEvent, { kind: 'ticked' }>,
): DuplicateAction[] {
  if (!isSameList(state.aliveVms, aliveVms)) {
    state.aliveVms = aliveVms;
    for (const [requestKey, { vmId }] of state.kept) {
      if (vmId !== state.self.vmId && !aliveVms.includes(vmId)) state.kept.delete(requestKey);
    }
  }
  if (isSameList(state.liveVms, liveVms)) return [];
  state.liveVms = liveVms;
  return announceRunning(state);
}

/** Decides what to do about one event. */
export function handleDuplicateEvent(
  state: DuplicateState,
  event: DuplicateEvent,
): DuplicateAction[] {
  switch (event.kind) {
    case 'checked':
      if (state.own.has(event.requestKey)) {
        throw new Error('the host lets one request of a key run on this VM');
      }
      return checkRequest(state, event.requestKey, event.now);
    case 'ended':
      return endRequest(state, event.requestKey);
    case 'peer-said':
      return handleMessage(state, event.from, event.message);
    case 'ticked':
      return [...applyVms(state, event), ...handleSilence(state, event.now)];
    default:
      return assertNever(event);
  }
}
