/**
 * Finds request contents that crash servers: what all its crashes have in common is blamed, and what was
 * answered is sound. Content is identified by its digest, never by request id. Returns actions only. Times are
 * milliseconds on the caller's clock.
 */

import {
  assertNever,
  type Fingerprint,
  type SuspectRecord,
  type UpstreamId,
} from '@tarragonspool/protocol';
import {
  addBrokenRun,
  beginDueProbes,
  findCrashId,
  recordCrashReport,
  recordProbe,
  sweepCrashReports,
  takeCrashes,
  type JudgedCrash,
} from './crash-incidents.js';
import type {
  QuarantineAction,
  QuarantineEvent,
  QuarantineState,
  Suspect,
} from './quarantine-types.js';
import {
  addSound,
  buildRecord,
  countCrashes,
  deleteSuspect,
  isCulprit,
  listOpenCrashes,
  QUARANTINE_CRASHES,
  QUARANTINE_TTL_MS,
  refuseContent,
} from './suspects.js';

export type { ProbedServer } from './crash-incidents.js';
export type * from './quarantine-types.js';
export * from './quarantine-status.js';
export { makeQuarantineState, QUARANTINE_CRASHES, QUARANTINE_TTL_MS } from './suspects.js';

/** Takes the suspects whose time has come; all are judged before what is refused explains their crashes. */
function takeCulprits(state: QuarantineState, now: number): Suspect[] {
  const culprits: Suspect[] = [];
  for (const fingerprint of [...state.undecided]) {
    const suspect = state.suspects.get(fingerprint);
    if (suspect === undefined || now < suspect.judgeAt) continue;
    state.undecided.delete(fingerprint);
    if (isCulprit(state, suspect)) culprits.push(suspect);
  }
  return culprits;
}

/** Judges the suspects whose time has come; a VM that saw none of the crashes tells nobody. */
function judgeSuspects(state: QuarantineState, now: number): QuarantineAction[] {
  const actions: QuarantineAction[] = [];
  const culprits = takeCulprits(state, now);
  for (const suspect of culprits) {
    const refused = refuseContent(state, suspect, now + QUARANTINE_TTL_MS);
    const record = buildRecord(state, refused);
    if (suspect.isOwn) actions.push({ kind: 'publish', items: [record] });
    actions.push({ kind: 'store', record, isOwn: suspect.isOwn });
  }
  return actions;
}

/** An answer of a content that shared crashes with others may leave one culprit. */
function reopenVerdicts(state: QuarantineState, cleared: Suspect, now: number): void {
  for (const suspect of state.suspects.values()) {
    const open = listOpenCrashes(state, suspect);
    if (suspect.isRefused || open.length < QUARANTINE_CRASHES) continue;
    if (!suspect.crashIds.some((id) => cleared.crashIds.includes(id))) continue;
    state.undecided.add(suspect.fingerprint);
    state.suspects.set(suspect.fingerprint, { ...suspect, judgeAt: now });
  }
}

/** Counts a crash for the contents that may have caused it; sound ones are told of only once they add up. */
function blameContents(
  state: QuarantineState,
  crash: JudgedCrash,
  now: number,
): QuarantineAction[] {
  const { upstreamId: lastUpstream, crashId, blamed } = crash;
  const items: SuspectRecord[] = [];
  for (const fingerprint of blamed) {
    const own = { fingerprint, crashIds: [crashId], lastUpstream, isOwn: true };
    const suspect = countCrashes(state, own, now);
    if (suspect === undefined) continue;
    const isTold = !state.sound.has(fingerprint) || suspect.crashIds.length >= QUARANTINE_CRASHES;
    if (isTold) items.push(buildRecord(state, suspect));
  }
  return items.length === 0 ? [] : [{ kind: 'publish', items }];
}

function decideIncidents(state: QuarantineState, now: number): QuarantineAction[] {
  const actions: QuarantineAction[] = [];
  for (const server of beginDueProbes(state.incidents, now)) {
    actions.push({ kind: 'probe', ...server });
  }
  for (const crash of takeCrashes(state.incidents, now)) {
    const { upstreamId, crashId, prompts } = crash;
    if (prompts.length > 0) actions.push({ kind: 'crashed', upstreamId, crashId, prompts });
    actions.push(...blameContents(state, crash, now));
  }
  actions.push(...judgeSuspects(state, now));
  return actions;
}

function clearSuspect(state: QuarantineState, fingerprint: Fingerprint, now: number): boolean {
  const suspect = state.suspects.get(fingerprint);
  if (suspect === undefined) return false;
  deleteSuspect(state, fingerprint);
  // What it was refused for has another cause.
  if (suspect.isRefused) for (const id of suspect.crashIds) state.explained.delete(id);
  reopenVerdicts(state, suspect, now);
  return true;
}

/** Finds the crashes of a received record; older versions name the server of the last one only. */
function findReceivedCrashes(
  { suspects, incidents }: QuarantineState,
  { fingerprint, crashIds, lastUpstream }: SuspectRecord,
  now: number,
): readonly string[] {
  if (crashIds !== undefined) return crashIds;
  const known = suspects.get(fingerprint);
  if (known?.lastUpstream === lastUpstream) return known.crashIds;
  return [findCrashId(incidents, lastUpstream, now)];
}

/** Builds what this VM tells of a content that a peer suspects and does not know to be sound. */
function vouchFor(state: QuarantineState, received: SuspectRecord): QuarantineAction[] {
  const isNeeded = received.crashes > 0 && received.isSound !== true;
  if (!isNeeded || !state.sound.has(received.fingerprint)) return [];
  return [{ kind: 'vouch', record: { ...received, crashes: 1, isSound: true } }];
}

function applyReceivedRecord(state: QuarantineState, received: SuspectRecord, now: number): void {
  const { fingerprint, lastUpstream, expiresAt } = received;
  if (received.isSound === true) addSound(state, fingerprint);
  if (received.crashes === 0) {
    clearSuspect(state, fingerprint, now);
    return;
  }
  if (expiresAt <= now) return;
  const crashIds = findReceivedCrashes(state, received, now);
  const crash = { fingerprint, crashIds, lastUpstream, isOwn: false };
  const isNews = countCrashes(state, crash, now) !== undefined;
  const lastId = crashIds.at(-1);
  if (isNews && lastId !== undefined) {
    recordCrashReport(state.incidents, lastUpstream, lastId, now);
  }
  const suspect = state.suspects.get(fingerprint);
  const isRefusedThere = received.crashes >= QUARANTINE_CRASHES;
  if (!isRefusedThere || suspect === undefined || suspect.isRefused) return;
  // What this VM knows to be sound it judges by itself.
  if (!state.sound.has(fingerprint)) refuseContent(state, suspect, expiresAt);
}

function publishCleared(
  fingerprint: Fingerprint,
  isSound: boolean,
  now: number,
): QuarantineAction[] {
  const cleared: SuspectRecord = {
    fingerprint,
    crashes: 0,
    lastUpstream: '' as UpstreamId,
    expiresAt: now,
    ...(isSound ? { isSound } : {}),
  };
  return [
    { kind: 'publish', items: [cleared] },
    { kind: 'remove', fingerprint },
  ];
}

function removeExpired(state: QuarantineState, now: number): void {
  for (const [fingerprint, { expiresAt }] of state.suspects) {
    if (expiresAt <= now) deleteSuspect(state, fingerprint);
  }
  sweepCrashReports(state.incidents, now);
}

/** Handles one event and returns the resulting actions. */
export function handleQuarantineEvent(
  state: QuarantineState,
  event: QuarantineEvent,
): QuarantineAction[] {
  const { now } = event;
  switch (event.kind) {
    case 'broken': {
      const { upstreamId, crashId } = event;
      const isProbed = addBrokenRun(state.incidents, event, now);
      return isProbed ? [{ kind: 'probe', upstreamId, crashId }] : [];
    }
    case 'probed':
      recordProbe(state.incidents, event.upstreamId, event.isAlive);
      return decideIncidents(state, now);
    case 'heard': {
      const actions: QuarantineAction[] = [];
      for (const item of event.items) {
        actions.push(...vouchFor(state, item));
        applyReceivedRecord(state, item, now);
      }
      return actions;
    }
    case 'succeeded': {
      const { fingerprint } = event;
      addSound(state, fingerprint);
      return clearSuspect(state, fingerprint, now) ? publishCleared(fingerprint, true, now) : [];
    }
    case 'released': {
      const { fingerprint } = event;
      state.sound.delete(fingerprint);
      return clearSuspect(state, fingerprint, now) ? publishCleared(fingerprint, false, now) : [];
    }
    case 'ticked':
      removeExpired(state, now);
      return decideIncidents(state, now);
    default:
      return assertNever(event);
  }
}
