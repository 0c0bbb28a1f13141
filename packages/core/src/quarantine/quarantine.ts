/**
 * Finds request contents that crash servers: what all its crashes have in common is blamed, and what was
 * answered is sound. Content is identified by its digest, never by request id. Returns actions only. Times are
 * milliseconds on the caller's clock.
 */

import {
  assertNever,
  type Fingerprint,
  type PromptPartId,
  type SuspectRecord,
  type UpstreamId,
} from '@tarragonspool/protocol';
import {
  addBrokenRun,
  countIncidents,
  findCrashId,
  findRecheckTime,
  makeCrashIncidents,
  recordCrashReport,
  recordProbe,
  sweepCrashReports,
  takeCrashes,
  type BrokenRun,
  type CrashIncidents,
  type JudgedCrash,
} from './crash-incidents.js';
import { dropOldest } from './drop-oldest.js';

/** Events that the quarantine receives. */
export type QuarantineEvent =
  | ({ readonly kind: 'broken'; readonly now: number } & BrokenRun)
  | {
      readonly kind: 'probed';
      readonly upstreamId: UpstreamId;
      readonly isAlive: boolean;
      readonly now: number;
    }
  /** Records from a peer or the table; zero crashes means that the content was cleared. */
  | { readonly kind: 'heard'; readonly items: readonly SuspectRecord[]; readonly now: number }
  | { readonly kind: 'succeeded'; readonly fingerprint: Fingerprint; readonly now: number }
  | { readonly kind: 'released'; readonly fingerprint: Fingerprint; readonly now: number }
  | { readonly kind: 'ticked'; readonly now: number };

/** Actions that the host must perform. */
export type QuarantineAction =
  | { readonly kind: 'probe'; readonly upstreamId: UpstreamId }
  /** A server crashed before it had sent tokens for these prompts. */
  | {
      readonly kind: 'crashed';
      readonly upstreamId: UpstreamId;
      readonly crashId: string;
      readonly prompts: readonly (readonly PromptPartId[])[];
    }
  | { readonly kind: 'publish'; readonly items: readonly SuspectRecord[] }
  /** A content is refused from now on; `isOwn` if this VM saw one of its crashes. */
  | { readonly kind: 'store'; readonly record: SuspectRecord; readonly isOwn: boolean }
  | { readonly kind: 'remove'; readonly fingerprint: Fingerprint }
  /** A peer suspects a content of which this VM knows an answer; one VM is to tell so. */
  | { readonly kind: 'vouch'; readonly record: SuspectRecord };

/** Whether a content may run. */
export type ContentStatus =
  | { readonly kind: 'clear' }
  /** An order for it failed; whether the server crashed is decided at `until` at the earliest. */
  | { readonly kind: 'in-doubt'; readonly until: number }
  /** It may run while no other suspect runs. */
  | { readonly kind: 'suspect' }
  | { readonly kind: 'quarantined'; readonly expiresAt: number };

/** A content that was at a crash and was not answered since. */
type Suspect = {
  readonly fingerprint: Fingerprint;
  /** Crashes since its last answer. */
  readonly crashIds: readonly string[];
  readonly lastUpstream: UpstreamId;
  readonly expiresAt: number;
  /** When peers have told what else was at its crashes. */
  readonly judgeAt: number;
  readonly isRefused: boolean;
  /** Whether this VM saw one of its crashes. */
  readonly isOwn: boolean;
};

/** State of the quarantine on one VM. */
export type QuarantineState = {
  readonly suspects: Map<Fingerprint, Suspect>;
  /** Suspects that are to be judged. */
  readonly undecided: Set<Fingerprint>;
  /** Contents that were answered; the oldest are forgotten. */
  readonly sound: Set<Fingerprint>;
  /** Crashes of contents that are refused; they count for no other content. */
  readonly explained: Set<string>;
  readonly incidents: CrashIncidents;
};

/** Crashes from which on older versions refuse a content; a record of fewer is a suspect's. */
export const QUARANTINE_CRASHES = 2;
/** Crashes after which a content is refused though others were at all of them. */
const SHARED_CRASHES = 3;
/** Crashes after which it is refused though a refused content explains some: that one may be refused wrongly. */
const MAX_CRASHES = 4;
/** A content that was answered before needs more evidence. */
const SOUND_CRASHES = 5;
/** VMs tell each other of a crash within this time after they have judged it. */
const VERDICT_WAIT_MS = 200;
const SUSPECT_TTL_MS = 600_000;
/** How long a content is refused, in milliseconds. */
export const QUARANTINE_TTL_MS = 3_600_000;
const MAX_SUSPECTS = 10_000;
const MAX_SOUND = 5_000;
/** Further crashes of a content prove nothing more. */
const MAX_CRASH_IDS = 8;
const MAX_EXPLAINED = 1_000;

/** Makes the initial state. */
export function makeQuarantineState(): QuarantineState {
  return {
    suspects: new Map(),
    undecided: new Set(),
    sound: new Set(),
    explained: new Set(),
    incidents: makeCrashIncidents(),
  };
}

/** Whether a crash or a verdict is open, which needs ticks at short intervals. */
export function hasOpenQuestions({ incidents, undecided }: QuarantineState): boolean {
  return incidents.open.size > 0 || undecided.size > 0;
}

function buildRecord({ sound }: QuarantineState, suspect: Suspect): SuspectRecord {
  const { fingerprint, crashIds, lastUpstream, expiresAt, isRefused } = suspect;
  const crashes = isRefused ? Math.max(QUARANTINE_CRASHES, crashIds.length) : 1;
  const known = sound.has(fingerprint) ? { isSound: true } : {};
  return { fingerprint, crashes, lastUpstream, expiresAt, crashIds, ...known };
}

/** Lists the crashes of a suspect that no refused content explains. */
function listOpenCrashes({ explained }: QuarantineState, { crashIds }: Suspect): string[] {
  return crashIds.filter((id) => !explained.has(id));
}

/** Finds whether a content may run. */
export function findContentStatus(
  state: QuarantineState,
  fingerprint: Fingerprint,
  now: number,
): ContentStatus {
  const suspect = state.suspects.get(fingerprint);
  const isCurrent = suspect !== undefined && suspect.expiresAt > now;
  if (isCurrent && suspect.isRefused) {
    return { kind: 'quarantined', expiresAt: suspect.expiresAt };
  }
  const until = findRecheckTime(state.incidents, fingerprint, now);
  if (until !== undefined) return { kind: 'in-doubt', until };
  if (!isCurrent || state.sound.has(fingerprint)) return { kind: 'clear' };
  if (listOpenCrashes(state, suspect).length === 0) return { kind: 'clear' };
  if (state.undecided.has(fingerprint)) return { kind: 'in-doubt', until: suspect.judgeAt };
  return { kind: 'suspect' };
}

/**
 * Whether a content that was never answered may have crashed two servers, one of which is not judged yet.
 */
export function isAwaitingVerdict(state: QuarantineState, fingerprint: Fingerprint): boolean {
  if (state.sound.has(fingerprint)) return false;
  const open = countIncidents(state.incidents, fingerprint);
  if (open === 0 && !state.undecided.has(fingerprint)) return false;
  const counted = state.suspects.get(fingerprint)?.crashIds.length ?? 0;
  return counted + open >= QUARANTINE_CRASHES;
}

/** Finds the record of a content that is refused. */
export function findQuarantined(
  state: QuarantineState,
  fingerprint: Fingerprint,
  now: number,
): SuspectRecord | undefined {
  const suspect = state.suspects.get(fingerprint);
  const isRefused = suspect !== undefined && suspect.isRefused && suspect.expiresAt > now;
  return isRefused ? buildRecord(state, suspect) : undefined;
}

/** Lists the records of contents in quarantine. */
export function listQuarantined(state: QuarantineState, now: number): SuspectRecord[] {
  const records: SuspectRecord[] = [];
  for (const suspect of state.suspects.values()) {
    if (suspect.isRefused && suspect.expiresAt > now) records.push(buildRecord(state, suspect));
  }
  return records;
}

/** Lists the records of all suspects. */
export function listSuspects(state: QuarantineState): SuspectRecord[] {
  return [...state.suspects.values()].map((suspect) => buildRecord(state, suspect));
}

function setSuspect(state: QuarantineState, suspect: Suspect): void {
  state.suspects.delete(suspect.fingerprint);
  state.suspects.set(suspect.fingerprint, suspect);
  const isOpen = listOpenCrashes(state, suspect).length >= QUARANTINE_CRASHES;
  const isDue = isOpen || suspect.crashIds.length >= MAX_CRASHES;
  if (isDue && !suspect.isRefused) state.undecided.add(suspect.fingerprint);
  else state.undecided.delete(suspect.fingerprint);
  const dropped = dropOldest(state.suspects, MAX_SUSPECTS);
  if (dropped !== undefined) state.undecided.delete(dropped);
}

function deleteSuspect(state: QuarantineState, fingerprint: Fingerprint): void {
  state.suspects.delete(fingerprint);
  state.undecided.delete(fingerprint);
}

/** Counts crashes for a content; returns the suspect if any of them is new. */
function countCrashes(
  state: QuarantineState,
  crash: {
    readonly fingerprint: Fingerprint;
    readonly crashIds: readonly string[];
    readonly lastUpstream: UpstreamId;
    readonly isOwn: boolean;
  },
  now: number,
): Suspect | undefined {
  const { fingerprint, lastUpstream } = crash;
  const found = state.suspects.get(fingerprint);
  const known = found !== undefined && found.expiresAt > now ? found : undefined;
  const added = crash.crashIds.filter((id) => known?.crashIds.includes(id) !== true);
  const isOwn = crash.isOwn || known?.isOwn === true;
  if (added.length === 0) {
    if (known !== undefined && known.isOwn !== isOwn) {
      state.suspects.set(fingerprint, { ...known, isOwn });
    }
    return undefined;
  }
  const suspect: Suspect = {
    fingerprint,
    crashIds: [...(known?.crashIds ?? []), ...added].slice(-MAX_CRASH_IDS),
    lastUpstream,
    expiresAt: known?.isRefused === true ? known.expiresAt : now + SUSPECT_TTL_MS,
    judgeAt: now + VERDICT_WAIT_MS,
    isRefused: known?.isRefused === true,
    isOwn,
  };
  setSuspect(state, suspect);
  return suspect;
}

function refuseContent(state: QuarantineState, suspect: Suspect, expiresAt: number): Suspect {
  const refused = { ...suspect, isRefused: true, expiresAt };
  setSuspect(state, refused);
  for (const id of suspect.crashIds) {
    state.explained.add(id);
    dropOldest(state.explained, MAX_EXPLAINED);
  }
  return refused;
}

/** Whether another content was at all these crashes and may have caused them. */
function hasRival(
  state: QuarantineState,
  fingerprint: Fingerprint,
  crashIds: readonly string[],
): boolean {
  for (const other of state.suspects.values()) {
    if (other.fingerprint === fingerprint || other.isRefused) continue;
    if (state.sound.has(other.fingerprint)) continue;
    if (crashIds.every((id) => other.crashIds.includes(id))) return true;
  }
  return false;
}

function isCulprit(state: QuarantineState, suspect: Suspect): boolean {
  const { fingerprint, crashIds } = suspect;
  const open = listOpenCrashes(state, suspect);
  if (state.sound.has(fingerprint)) return open.length >= SOUND_CRASHES;
  if (crashIds.length >= MAX_CRASHES || open.length >= SHARED_CRASHES) return true;
  return open.length >= QUARANTINE_CRASHES && !hasRival(state, fingerprint, open);
}

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
  for (const crash of takeCrashes(state.incidents, now)) {
    const { upstreamId, crashId, prompts } = crash;
    if (prompts.length > 0) actions.push({ kind: 'crashed', upstreamId, crashId, prompts });
    actions.push(...blameContents(state, crash, now));
  }
  actions.push(...judgeSuspects(state, now));
  return actions;
}

function addSound({ sound }: QuarantineState, fingerprint: Fingerprint): void {
  // Added again at the end, as the latest.
  sound.delete(fingerprint);
  sound.add(fingerprint);
  dropOldest(sound, MAX_SOUND);
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
      const { upstreamId } = event;
      return addBrokenRun(state.incidents, event, now) ? [{ kind: 'probe', upstreamId }] : [];
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
