/** Keeps the contents that were at crashes, and finds which of them have caused theirs. */

import type { Fingerprint, SuspectRecord, UpstreamId } from '@tarragonspool/protocol';
import { makeCrashIncidents } from './crash-incidents.js';
import { dropOldest } from './drop-oldest.js';
import type { QuarantineState, Suspect } from './quarantine-types.js';

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

/** Builds the record of a suspect that is told and stored. */
export function buildRecord({ sound }: QuarantineState, suspect: Suspect): SuspectRecord {
  const { fingerprint, crashIds, lastUpstream, expiresAt, isRefused } = suspect;
  const crashes = isRefused ? Math.max(QUARANTINE_CRASHES, crashIds.length) : 1;
  const known = sound.has(fingerprint) ? { isSound: true } : {};
  return { fingerprint, crashes, lastUpstream, expiresAt, crashIds, ...known };
}

/** Lists the crashes of a suspect that no refused content explains. */
export function listOpenCrashes({ explained }: QuarantineState, { crashIds }: Suspect): string[] {
  return crashIds.filter((id) => !explained.has(id));
}

/** Sets a suspect; one with enough crashes is to be judged. */
export function setSuspect(state: QuarantineState, suspect: Suspect): void {
  state.suspects.delete(suspect.fingerprint);
  state.suspects.set(suspect.fingerprint, suspect);
  const isOpen = listOpenCrashes(state, suspect).length >= QUARANTINE_CRASHES;
  const isDue = isOpen || suspect.crashIds.length >= MAX_CRASHES;
  if (isDue && !suspect.isRefused) state.undecided.add(suspect.fingerprint);
  else state.undecided.delete(suspect.fingerprint);
  const dropped = dropOldest(state.suspects, MAX_SUSPECTS);
  if (dropped !== undefined) state.undecided.delete(dropped);
}

/** Forgets a suspect. */
export function deleteSuspect(state: QuarantineState, fingerprint: Fingerprint): void {
  state.suspects.delete(fingerprint);
  state.undecided.delete(fingerprint);
}

/** Counts crashes for a content; returns the suspect if any of them is new. */
export function countCrashes(
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

/** Refuses a content; its crashes count for no other one. */
export function refuseContent(
  state: QuarantineState,
  suspect: Suspect,
  expiresAt: number,
): Suspect {
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

/** Whether the crashes of a suspect are enough to refuse it. */
export function isCulprit(state: QuarantineState, suspect: Suspect): boolean {
  const { fingerprint, crashIds } = suspect;
  const open = listOpenCrashes(state, suspect);
  if (state.sound.has(fingerprint)) return open.length >= SOUND_CRASHES;
  if (crashIds.length >= MAX_CRASHES || open.length >= SHARED_CRASHES) return true;
  return open.length >= QUARANTINE_CRASHES && !hasRival(state, fingerprint, open);
}

/** Remembers that a content was answered. */
export function addSound({ sound }: QuarantineState, fingerprint: Fingerprint): void {
  // Added again at the end, as the latest.
  sound.delete(fingerprint);
  sound.add(fingerprint);
  dropOldest(sound, MAX_SOUND);
}
