/**
 * Ensures that only one submission of a request id chosen by the caller runs at a time across VMs.
 * Rendezvous hashing selects the VM that owns the id; if the owner does not answer, the next VM is
 * asked. Nothing is written to the table. Returns actions only. Times are milliseconds since the
 * epoch.
 */

import { assertNever, type Incarnation, type VmId } from '@tarragonspool/protocol';
import { findOwner } from '../hashing/rendezvous.js';

/** Digest of caller and request id. */
export type RequestKey = string;

/** Result of a check. `unchecked`: neither of two owners answered before the timeout. */
export type DuplicateVerdict = 'first' | 'running' | 'unchecked';

/** Messages between the VM that owns a request id and the VM that runs the request. */
export type DuplicateMessage =
  | { readonly kind: 'request-started'; readonly requestKey: RequestKey }
  | { readonly kind: 'request-ended'; readonly requestKey: RequestKey }
  | {
      readonly kind: 'request-verdict';
      readonly requestKey: RequestKey;
      readonly isFirst: boolean;
    };

/** A VM and one incarnation of its daemon. */
export type VmIncarnation = { readonly vmId: VmId; readonly incarnation: Incarnation };

/** Events that the guard receives. */
export type DuplicateEvent =
  | { readonly kind: 'checked'; readonly requestKey: RequestKey; readonly now: number }
  | { readonly kind: 'ended'; readonly requestKey: RequestKey; readonly now: number }
  | {
      readonly kind: 'peer-said';
      readonly from: VmIncarnation;
      readonly message: DuplicateMessage;
      readonly now: number;
    }
  | {
      readonly kind: 'ticked';
      /** VMs that may own request ids. */
      readonly liveVms: readonly VmId[];
      /** VMs that may still run requests: all that are alive, also while they leave. */
      readonly aliveVms: readonly VmId[];
      readonly now: number;
    };

/** Actions that the host must perform. */
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

/** State of the guard on one VM. */
export type DuplicateState = {
  readonly self: VmIncarnation;
  ownerCandidates: readonly VmId[];
  aliveVms: readonly VmId[];
  /** Requests that this VM checks or runs. */
  readonly ownRequests: Map<RequestKey, OwnRequest>;
  /** Requests whose id this VM owns, with the VM that runs each. */
  readonly registered: Map<RequestKey, VmIncarnation>;
};

const ANSWER_TIMEOUT_MS = 150;
const MAX_REGISTERED_REQUESTS = 200_000;

/** Makes the state of the guard. */
export function makeDuplicateState(self: VmIncarnation): DuplicateState {
  return {
    self,
    ownerCandidates: [self.vmId],
    aliveVms: [self.vmId],
    ownRequests: new Map(),
    registered: new Map(),
  };
}

function registerRequest(
  state: DuplicateState,
  requestKey: RequestKey,
  from: VmIncarnation,
): boolean {
  const known = state.registered.get(requestKey);
  const isSameVm = known?.vmId === from.vmId;
  const isRunnerGone = known !== undefined && !state.aliveVms.includes(known.vmId);
  if (known !== undefined && !isSameVm && !isRunnerGone) return false;
  if (known === undefined && state.registered.size >= MAX_REGISTERED_REQUESTS) return false;
  state.registered.set(requestKey, from);
  return true;
}

function unregisterRequest(
  state: DuplicateState,
  requestKey: RequestKey,
  from: VmIncarnation,
): void {
  const known = state.registered.get(requestKey);
  if (known?.vmId === from.vmId && known.incarnation === from.incarnation) {
    state.registered.delete(requestKey);
  }
}

function settleCheck(
  state: DuplicateState,
  requestKey: RequestKey,
  owner: VmId,
  isFirst: boolean,
): DuplicateAction[] {
  if (isFirst) state.ownRequests.set(requestKey, { step: 'running', owner });
  else state.ownRequests.delete(requestKey);
  return [{ kind: 'answer', requestKey, verdict: isFirst ? 'first' : 'running' }];
}

function sendCheckToOwner(
  state: DuplicateState,
  requestKey: RequestKey,
  excluded: VmId | undefined,
  now: number,
): DuplicateAction[] {
  const candidates = state.ownerCandidates.filter((vmId) => vmId !== excluded);
  const owner = findOwner(candidates, requestKey) ?? state.self.vmId;
  if (owner === state.self.vmId) {
    return settleCheck(state, requestKey, owner, registerRequest(state, requestKey, state.self));
  }
  const isSecondOwner = excluded !== undefined;
  const deadline = now + ANSWER_TIMEOUT_MS;
  state.ownRequests.set(requestKey, { step: 'asking', owner, isSecondOwner, deadline });
  return [{ kind: 'send', vmId: owner, message: { kind: 'request-started', requestKey } }];
}

function checkRequest(
  state: DuplicateState,
  requestKey: RequestKey,
  now: number,
): DuplicateAction[] {
  return sendCheckToOwner(state, requestKey, undefined, now);
}

function endRequest(state: DuplicateState, requestKey: RequestKey): DuplicateAction[] {
  const own = state.ownRequests.get(requestKey);
  state.ownRequests.delete(requestKey);
  if (own === undefined) return [];
  if (own.owner === state.self.vmId) {
    unregisterRequest(state, requestKey, state.self);
    return [];
  }
  return [{ kind: 'send', vmId: own.owner, message: { kind: 'request-ended', requestKey } }];
}

function handleMessage(
  state: DuplicateState,
  from: VmIncarnation,
  message: DuplicateMessage,
): DuplicateAction[] {
  const { requestKey } = message;
  switch (message.kind) {
    case 'request-started': {
      const isFirst = registerRequest(state, requestKey, from);
      const reply: DuplicateMessage = { kind: 'request-verdict', requestKey, isFirst };
      return [{ kind: 'send', vmId: from.vmId, message: reply }];
    }
    case 'request-ended':
      unregisterRequest(state, requestKey, from);
      return [];
    case 'request-verdict': {
      const own = state.ownRequests.get(requestKey);
      if (own?.step !== 'asking' || own.owner !== from.vmId) return [];
      return settleCheck(state, requestKey, from.vmId, message.isFirst);
    }
    default:
      return assertNever(message);
  }
}

/** Sends checks that timed out to a second owner; answers `unchecked` once that times out too. */
function handleOwnerTimeouts(state: DuplicateState, now: number): DuplicateAction[] {
  const actions: DuplicateAction[] = [];
  for (const [requestKey, own] of [...state.ownRequests]) {
    if (own.step !== 'asking' || now < own.deadline) continue;
    // The owner that did not answer may have registered the request and must remove it.
    const message: DuplicateMessage = { kind: 'request-ended', requestKey };
    actions.push({ kind: 'send', vmId: own.owner, message });
    if (own.isSecondOwner) {
      state.ownRequests.delete(requestKey);
      actions.push({ kind: 'answer', requestKey, verdict: 'unchecked' });
    } else actions.push(...sendCheckToOwner(state, requestKey, own.owner, now));
  }
  return actions;
}

/** Registers running requests with their new owners after the set of live VMs changed. */
function registerWithNewOwners(state: DuplicateState): DuplicateAction[] {
  const actions: DuplicateAction[] = [];
  for (const [requestKey, own] of state.ownRequests) {
    if (own.step !== 'running') continue;
    const owner = findOwner(state.ownerCandidates, requestKey);
    if (owner === undefined || owner === own.owner) continue;
    state.ownRequests.set(requestKey, { step: 'running', owner });
    if (owner === state.self.vmId) {
      registerRequest(state, requestKey, state.self);
      continue;
    }
    const message: DuplicateMessage = { kind: 'request-started', requestKey };
    actions.push({ kind: 'send', vmId: owner, message });
  }
  return actions;
}

function isSameSet(a: readonly VmId[], b: readonly VmId[]): boolean {
  return a.length === b.length && a.every((vmId) => b.includes(vmId));
}

function applyVmLists(
  state: DuplicateState,
  { liveVms, aliveVms }: Extract<DuplicateEvent, { kind: 'ticked' }>,
): DuplicateAction[] {
  if (!isSameSet(state.aliveVms, aliveVms)) {
    state.aliveVms = aliveVms;
    for (const [requestKey, { vmId }] of state.registered) {
      if (vmId !== state.self.vmId && !aliveVms.includes(vmId)) state.registered.delete(requestKey);
    }
  }
  if (isSameSet(state.ownerCandidates, liveVms)) return [];
  state.ownerCandidates = liveVms;
  return registerWithNewOwners(state);
}

/** Handles one event and returns the resulting actions. */
export function handleDuplicateEvent(
  state: DuplicateState,
  event: DuplicateEvent,
): DuplicateAction[] {
  switch (event.kind) {
    case 'checked':
      if (state.ownRequests.has(event.requestKey)) {
        throw new Error('the host must let only one request per key run on this VM');
      }
      return checkRequest(state, event.requestKey, event.now);
    case 'ended':
      return endRequest(state, event.requestKey);
    case 'peer-said':
      return handleMessage(state, event.from, event.message);
    case 'ticked':
      return [...applyVmLists(state, event), ...handleOwnerTimeouts(state, event.now)];
    default:
      return assertNever(event);
  }
}
