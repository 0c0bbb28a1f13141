/**
 * Finds request contents that crash engines. Content is known by its digest, never by request id.
 * Decides only. Times are milliseconds since the epoch.
 */

import {
  assertNever,
  type Fingerprint,
  type SuspectRecord,
  type UpstreamId,
} from '@tarragonspool/protocol';

/** What the machine hears. */
export type QuarantineEvent =
  /** An order broke off in a way that a crash of the engine would explain. */
  | {
      readonly kind: 'broken';
      readonly upstreamId: UpstreamId;
      readonly fingerprint: Fingerprint;
      /** Whether the engine had already sent tokens for it. */
      readonly hasTokens: boolean;
      readonly now: number;
    }
  | {
      readonly kind: 'probed';
      readonly upstreamId: UpstreamId;
      readonly isAlive: boolean;
      readonly now: number;
    }
  /** Records of a peer or of the table; no crashes means cleared. */
  | { readonly kind: 'heard'; readonly items: readonly SuspectRecord[]; readonly now: number }
  | { readonly kind: 'succeeded'; readonly fingerprint: Fingerprint; readonly now: number }
  | { readonly kind: 'released'; readonly fingerprint: Fingerprint; readonly now: number }
  | { readonly kind: 'ticked'; readonly now: number };

/** What the host must do. */
export type QuarantineAction =
  | { readonly kind: 'probe'; readonly upstreamId: UpstreamId }
  | { readonly kind: 'publish'; readonly items: readonly SuspectRecord[] }
  | { readonly kind: 'store'; readonly record: SuspectRecord }
  | { readonly kind: 'remove'; readonly fingerprint: Fingerprint };

/** Whether a content may run. */
export type Standing =
  | { readonly kind: 'clear' }
  /** An engine that ran it broke off; whether it crashed is decided by then. */
  | { readonly kind: 'in-doubt'; readonly until: number }
  /** It may run while no other suspect does. */
  | { readonly kind: 'suspect' }
  | { readonly kind: 'quarantined'; readonly expiresAt: number };

type Incident = {
  readonly decideAt: number;
  /** Contents that ran on the engine, with whether each had tokens. */
  readonly victims: Map<Fingerprint, boolean>;
  isAlive: boolean | undefined;
};

/** Whole state on one VM. */
export type QuarantineState = {
  readonly suspects: Map<Fingerprint, SuspectRecord>;
  readonly incidents: Map<UpstreamId, Incident>;
  /** When a peer last blamed a content for a crash of an engine. */
  readonly explained: Map<UpstreamId, number>;
  /** When a peer last said something of a suspect. */
  readonly heardAt: Map<Fingerprint, number>;
};

/** Crashes after which a content is refused. */
export const QUARANTINE_CRASHES = 2;
const DECIDE_AFTER_MS = 300;
/** How long a VM whose streams all had tokens waits for a peer to name another content. */
const EXPLAIN_WAIT_MS = 400;
const EXPLAINED_FOR_MS = 5_000;
const SUSPECT_MS = 600_000;
const QUARANTINE_MS = 3_600_000;
const MAX_SUSPECTS = 10_000;

/** Makes an empty state. */
export function makeQuarantineState(): QuarantineState {
  return { suspects: new Map(), incidents: new Map(), explained: new Map(), heardAt: new Map() };
}

function hasBegun({ victims }: Incident): boolean {
  for (const hasTokens of victims.values()) {
    if (!hasTokens) return true;
  }
  return false;
}

/** Whether a crash is known and a peer may still name the content that caused it. */
function isAwaitingPeers(incident: Incident, now: number): boolean {
  return incident.isAlive === false && !hasBegun(incident) && now >= incident.decideAt;
}

/**
 * Finds until when a content is in doubt: while an incident of its is open. A stream with tokens may go
 * on while peers are awaited, unless it was in a second incident meanwhile.
 */
function findDoubtEnd(
  state: QuarantineState,
  fingerprint: Fingerprint,
  now: number,
): number | undefined {
  let count = 0;
  let isOpen = false;
  let until = now;
  for (const incident of state.incidents.values()) {
    if (!incident.victims.has(fingerprint)) continue;
    count += 1;
    isOpen ||= !isAwaitingPeers(incident, now);
    until = Math.max(until, incident.decideAt);
  }
  return isOpen || count > 1 ? until : undefined;
}

/** Finds whether a content may run. */
export function findStanding(
  state: QuarantineState,
  fingerprint: Fingerprint,
  now: number,
): Standing {
  const record = state.suspects.get(fingerprint);
  const isBlamed = record !== undefined && record.expiresAt > now;
  if (isBlamed && record.crashes >= QUARANTINE_CRASHES) {
    return { kind: 'quarantined', expiresAt: record.expiresAt };
  }
  const until = findDoubtEnd(state, fingerprint, now);
  if (until !== undefined) return { kind: 'in-doubt', until };
  if (isBlamed) return { kind: 'suspect' };
  return { kind: 'clear' };
}

/** Lists contents in quarantine. */
export function listQuarantined(state: QuarantineState, now: number): SuspectRecord[] {
  const records: SuspectRecord[] = [];
  for (const record of state.suspects.values()) {
    if (record.crashes >= QUARANTINE_CRASHES && record.expiresAt > now) records.push(record);
  }
  return records;
}

function setSuspect(state: QuarantineState, record: SuspectRecord): void {
  state.suspects.delete(record.fingerprint);
  state.suspects.set(record.fingerprint, record);
  if (state.suspects.size <= MAX_SUSPECTS) return;
  const [oldest] = state.suspects.keys();
  if (oldest !== undefined) state.suspects.delete(oldest);
}

function addVictim(
  state: QuarantineState,
  event: Extract<QuarantineEvent, { kind: 'broken' }>,
): QuarantineAction[] {
  const { upstreamId, fingerprint, hasTokens, now } = event;
  const known = state.incidents.get(upstreamId);
  if (known !== undefined) {
    known.victims.set(fingerprint, hasTokens);
    return [];
  }
  const victims = new Map([[fingerprint, hasTokens]]);
  state.incidents.set(upstreamId, { decideAt: now + DECIDE_AFTER_MS, victims, isAlive: undefined });
  return [{ kind: 'probe', upstreamId }];
}

function isExplained(state: QuarantineState, upstreamId: UpstreamId, now: number): boolean {
  return now < (state.explained.get(upstreamId) ?? -Infinity) + EXPLAINED_FOR_MS;
}

/**
 * Picks the contents to blame for a crash: those that the engine had only begun; if there are none
 * and no peer names one, all that ran.
 */
function listBlamed(
  state: QuarantineState,
  upstreamId: UpstreamId,
  incident: Incident,
  now: number,
) {
  const begun: Fingerprint[] = [];
  for (const [fingerprint, hasTokens] of incident.victims) if (!hasTokens) begun.push(fingerprint);
  if (begun.length > 0) return begun;
  if (isExplained(state, upstreamId, now)) return [];
  return [...incident.victims.keys()];
}

function blame(
  state: QuarantineState,
  upstreamId: UpstreamId,
  incident: Incident,
  now: number,
): QuarantineAction[] {
  const items: SuspectRecord[] = [];
  const actions: QuarantineAction[] = [];
  for (const fingerprint of listBlamed(state, upstreamId, incident, now)) {
    const known = state.suspects.get(fingerprint);
    // A peer that ran the same content on the engine has counted this crash already.
    const heardAt = state.heardAt.get(fingerprint) ?? -Infinity;
    const isCounted = heardAt > incident.decideAt - DECIDE_AFTER_MS;
    if (isCounted && known?.lastUpstream === upstreamId) continue;
    const crashes = known !== undefined && known.expiresAt > now ? known.crashes + 1 : 1;
    const isQuarantined = crashes >= QUARANTINE_CRASHES;
    const expiresAt = now + (isQuarantined ? QUARANTINE_MS : SUSPECT_MS);
    const record = { fingerprint, crashes, lastUpstream: upstreamId, expiresAt };
    setSuspect(state, record);
    items.push(record);
    if (isQuarantined) actions.push({ kind: 'store', record });
  }
  return items.length === 0 ? [] : [{ kind: 'publish', items }, ...actions];
}

function decideIncidents(state: QuarantineState, now: number): QuarantineAction[] {
  const actions: QuarantineAction[] = [];
  for (const [upstreamId, incident] of [...state.incidents]) {
    if (now < incident.decideAt || incident.isAlive === undefined) continue;
    const isWaiting = isAwaitingPeers(incident, now) && now < incident.decideAt + EXPLAIN_WAIT_MS;
    if (isWaiting && !isExplained(state, upstreamId, now)) continue;
    state.incidents.delete(upstreamId);
    if (!incident.isAlive) actions.push(...blame(state, upstreamId, incident, now));
  }
  return actions;
}

function takeRecord(state: QuarantineState, heard: SuspectRecord, now: number): void {
  const { fingerprint, lastUpstream } = heard;
  if (heard.crashes === 0) {
    state.suspects.delete(fingerprint);
    return;
  }
  if (heard.expiresAt <= now) return;
  state.explained.set(lastUpstream, now);
  state.heardAt.set(fingerprint, now);
  const known = state.suspects.get(fingerprint);
  if (known === undefined || known.expiresAt <= now || heard.crashes > known.crashes) {
    setSuspect(state, heard);
    return;
  }
  // Two VMs that each saw a first crash on another engine saw two crashes.
  const isOther = heard.crashes === known.crashes && lastUpstream !== known.lastUpstream;
  if (!isOther || known.crashes >= QUARANTINE_CRASHES) return;
  const expiresAt = now + QUARANTINE_MS;
  setSuspect(state, { ...heard, crashes: known.crashes + 1, expiresAt });
}

function clearSuspect(
  state: QuarantineState,
  fingerprint: Fingerprint,
  now: number,
): QuarantineAction[] {
  const record = state.suspects.get(fingerprint);
  if (record === undefined) return [];
  state.suspects.delete(fingerprint);
  const cleared = { ...record, crashes: 0, expiresAt: now };
  return [
    { kind: 'publish', items: [cleared] },
    { kind: 'remove', fingerprint },
  ];
}

function removeExpired(state: QuarantineState, now: number): void {
  for (const [fingerprint, { expiresAt }] of state.suspects) {
    if (expiresAt <= now) state.suspects.delete(fingerprint);
  }
  for (const [upstreamId, at] of state.explained) {
    if (now >= at + EXPLAINED_FOR_MS) state.explained.delete(upstreamId);
  }
  for (const [fingerprint, at] of state.heardAt) {
    if (now >= at + EXPLAINED_FOR_MS) state.heardAt.delete(fingerprint);
  }
}

/** Decides what to do about one event. */
export function handleQuarantineEvent(
  state: QuarantineState,
  event: QuarantineEvent,
): QuarantineAction[] {
  const { now } = event;
  switch (event.kind) {
    case 'broken':
      return addVictim(state, event);
    case 'probed': {
      const incident = state.incidents.get(event.upstreamId);
      if (incident !== undefined) incident.isAlive = event.isAlive;
      return decideIncidents(state, now);
    }
    case 'heard':
      for (const item of event.items) takeRecord(state, item, now);
      return [];
    case 'succeeded': {
      const record = state.suspects.get(event.fingerprint);
      const isSuspect = record !== undefined && record.crashes < QUARANTINE_CRASHES;
      return isSuspect ? clearSuspect(state, event.fingerprint, now) : [];
    }
    case 'released':
      return clearSuspect(state, event.fingerprint, now);
    case 'ticked':
      removeExpired(state, now);
      return decideIncidents(state, now);
    default:
      return assertNever(event);
  }
}
