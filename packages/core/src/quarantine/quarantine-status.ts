/** Tells whether contents may run, and lists those that are refused or suspected. */

import type { Fingerprint, SuspectRecord } from '@tarragonspool/protocol';
import { countIncidents, findRecheckTime } from './crash-incidents.js';
import type { ContentStatus, QuarantineState } from './quarantine-types.js';
import { buildRecord, listOpenCrashes, QUARANTINE_CRASHES } from './suspects.js';

/** Whether a crash or a verdict is open, which needs ticks at short intervals. */
export function hasOpenQuestions({ incidents, undecided }: QuarantineState): boolean {
  return incidents.open.size > 0 || undecided.size > 0;
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
