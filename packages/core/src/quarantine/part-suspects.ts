/**
 * Finds parts of prompts that crash engines, where the prompts are otherwise different. Each VM
 * judges from the crash reports of all. Parts that always came together are refused together, until
 * an answer shows which of them is sound. Returns actions only. Times are milliseconds on the
 * caller's steady clock.
 */

import { assertNever, type PromptPartId } from '@tarragonspool/protocol';
import { dropOldest } from './drop-oldest.js';

/** Prompts that an engine had only begun when it crashed. */
export type CrashReport = {
  /** Identifies one run of an engine's process, however many VMs report its end. */
  readonly crashId: string;
  /** The shared parts of each prompt, in order. */
  readonly prompts: readonly (readonly PromptPartId[])[];
};

/** Prompts that have all of these parts are refused; in order of their ids. */
export type QuarantinedParts = {
  readonly parts: readonly PromptPartId[];
  readonly expiresAt: number;
  /** Whether it was read in a form of older versions, which is not written again. */
  readonly isFromOlder?: boolean;
};

/** Events that the judgement receives. */
export type PartEvent =
  | { readonly kind: 'crashed'; readonly report: CrashReport; readonly now: number }
  /** An engine has gone on with the answer to a prompt with these parts. */
  | { readonly kind: 'answered'; readonly parts: readonly PromptPartId[] }
  /** A peer saw such an answer. */
  | { readonly kind: 'heard-sound'; readonly parts: readonly PromptPartId[] }
  /** A peer or the store names parts in quarantine. */
  | { readonly kind: 'heard-quarantined'; readonly item: QuarantinedParts; readonly now: number };

/** Actions that the host must perform. */
export type PartAction =
  /** Tell peers that parts which were suspected are sound. */
  | { readonly kind: 'publish-sound'; readonly parts: readonly PromptPartId[] }
  | { readonly kind: 'quarantine'; readonly item: QuarantinedParts };

type PartSuspicion = {
  /** Crashes since the last answer. */
  readonly crashes: number;
  readonly lastCountedAt: number;
};

/** What one VM knows of parts. */
export type PartState = {
  readonly suspicions: Map<PromptPartId, PartSuspicion>;
  /** Parts that were answered; the oldest are forgotten. */
  readonly sound: Set<PromptPartId>;
  /** Parts in quarantine, by their ids. */
  readonly quarantined: Map<string, QuarantinedParts>;
  /** Parts that each of the latest crashes was counted for. */
  readonly countedCrashes: Map<string, Set<PromptPartId>>;
};

const QUARANTINE_CRASHES = 3;
/** A part that was answered before needs more evidence. */
const SOUND_QUARANTINE_CRASHES = 5;
/** Parts with one crash less may be the cause as well: not every VM sees each crash. */
const MISSED_CRASHES = 1;
/** Engines that end at about the same time have one cause, such as the loss of power. */
const SAME_CAUSE_MS = 300;
const SUSPICION_TTL_MS = 600_000;
/** How long prompts with a part in quarantine are refused, in milliseconds. */
export const PART_QUARANTINE_MS = 3_600_000;
const MAX_SUSPICIONS = 10_000;
const MAX_SOUND = 10_000;
const MAX_QUARANTINED = 200;
const MAX_CRASHES = 100;

/** Makes the state of a VM that knows nothing. */
export function makePartState(): PartState {
  return {
    suspicions: new Map(),
    sound: new Set(),
    quarantined: new Map(),
    countedCrashes: new Map(),
  };
}

function hasAll(parts: readonly PromptPartId[], wanted: readonly PromptPartId[]): boolean {
  return wanted.every((part) => parts.includes(part));
}

/** Finds the quarantine that a prompt with these parts falls under. */
export function findQuarantinedParts(
  { quarantined }: PartState,
  prompt: readonly PromptPartId[],
  now: number,
): QuarantinedParts | undefined {
  for (const item of quarantined.values()) {
    if (item.expiresAt > now && hasAll(prompt, item.parts)) return item;
  }
  return undefined;
}

/** Lists what is in quarantine. */
export function listQuarantinedParts({ quarantined }: PartState, now: number): QuarantinedParts[] {
  return [...quarantined.values()].filter(({ expiresAt }) => expiresAt > now);
}

/**
 * Puts parts into quarantine unless some of them are already; entries that refuse nothing which
 * these don't refuse are dropped.
 */
function setQuarantined(state: PartState, item: QuarantinedParts): void {
  const { parts, expiresAt } = item;
  for (const [key, other] of state.quarantined) {
    const isLonger = other.expiresAt >= expiresAt && other.parts.length < parts.length;
    if (isLonger && hasAll(parts, other.parts)) return;
    if (hasAll(other.parts, parts)) state.quarantined.delete(key);
  }
  const sorted = [...parts].sort();
  state.quarantined.set(sorted.join(), { ...item, parts: sorted });
  dropOldest(state.quarantined, MAX_QUARANTINED);
}

/** Takes sound parts out of what is in quarantine, unless nothing would be left of it. */
function narrowQuarantined(state: PartState): void {
  for (const item of [...state.quarantined.values()]) {
    const left = item.parts.filter((part) => !state.sound.has(part));
    if (left.length === 0 || left.length === item.parts.length) continue;
    setQuarantined(state, { ...item, parts: left });
  }
}

function addSound(state: PartState, part: PromptPartId): void {
  // Added again at the end, as the latest.
  state.sound.delete(part);
  state.sound.add(part);
  dropOldest(state.sound, MAX_SOUND);
}

/** Whether a part is refused only together with others. */
function isHeldWithOthers({ quarantined }: PartState, part: PromptPartId): boolean {
  for (const { parts } of quarantined.values()) {
    if (parts.length > 1 && parts.includes(part)) return true;
  }
  return false;
}

/** Records that parts are sound; returns those that were suspected. */
function recordSound(state: PartState, parts: readonly PromptPartId[]): PromptPartId[] {
  const cleared: PromptPartId[] = [];
  for (const part of parts) {
    const isHeld = isHeldWithOthers(state, part);
    addSound(state, part);
    if (state.suspicions.delete(part) || isHeld) cleared.push(part);
  }
  if (cleared.length > 0) narrowQuarantined(state);
  return cleared;
}

/** Finds the parts that a crash was counted for; adds an empty set for a crash that is new. */
function findCountedParts(state: PartState, crashId: string): Set<PromptPartId> {
  const known = state.countedCrashes.get(crashId);
  if (known !== undefined) return known;
  const counted = new Set<PromptPartId>();
  state.countedCrashes.set(crashId, counted);
  dropOldest(state.countedCrashes, MAX_CRASHES);
  return counted;
}

function countCrash(state: PartState, part: PromptPartId, now: number): void {
  const known = state.suspicions.get(part);
  const isCurrent = known !== undefined && known.lastCountedAt + SUSPICION_TTL_MS > now;
  if (isCurrent && now < known.lastCountedAt + SAME_CAUSE_MS) return;
  const crashes = isCurrent ? known.crashes + 1 : 1;
  state.suspicions.delete(part);
  state.suspicions.set(part, { crashes, lastCountedAt: now });
  dropOldest(state.suspicions, MAX_SUSPICIONS);
}

/** Lists the parts of a prompt that have crashed engines at least as often as said. */
function listCrashing(
  state: PartState,
  prompt: readonly PromptPartId[],
  isSound: boolean,
  crashes: number,
): PromptPartId[] {
  const found: PromptPartId[] = [];
  for (const part of prompt) {
    const counted = state.suspicions.get(part)?.crashes ?? 0;
    if (counted >= crashes && state.sound.has(part) === isSound) found.push(part);
  }
  return found;
}

/** Chooses the parts of a prompt to blame: those never answered, or if none is suspected, others. */
function choosePartsToBlame(
  state: PartState,
  prompt: readonly PromptPartId[],
): readonly PromptPartId[] {
  const isCertain = listCrashing(state, prompt, false, QUARANTINE_CRASHES).length > 0;
  const suspected = listCrashing(state, prompt, false, QUARANTINE_CRASHES - MISSED_CRASHES);
  if (suspected.length > 0) return isCertain ? suspected : [];
  return listCrashing(state, prompt, true, SOUND_QUARANTINE_CRASHES);
}

/** Judges a prompt after its crash was counted. */
function judgePrompt(state: PartState, prompt: readonly PromptPartId[], now: number): PartAction[] {
  if (findQuarantinedParts(state, prompt, now) !== undefined) return [];
  const parts = choosePartsToBlame(state, prompt);
  if (parts.length === 0) return [];
  const item = { parts: [...parts].sort(), expiresAt: now + PART_QUARANTINE_MS };
  setQuarantined(state, item);
  // What is blamed explains the crashes that were counted for the others.
  for (const part of prompt) if (!parts.includes(part)) state.suspicions.delete(part);
  return [{ kind: 'quarantine', item }];
}

function applyCrash(state: PartState, report: CrashReport, now: number): PartAction[] {
  const counted = findCountedParts(state, report.crashId);
  const unexplained = report.prompts.filter(
    (prompt) => findQuarantinedParts(state, prompt, now) === undefined,
  );
  for (const part of new Set(unexplained.flat())) {
    if (counted.has(part)) continue;
    counted.add(part);
    countCrash(state, part, now);
  }
  return unexplained.flatMap((prompt) => judgePrompt(state, prompt, now));
}

/** Handles one event and returns the resulting actions. */
export function handlePartEvent(state: PartState, event: PartEvent): PartAction[] {
  switch (event.kind) {
    case 'crashed':
      return applyCrash(state, event.report, event.now);
    case 'answered': {
      const parts = recordSound(state, event.parts);
      return parts.length === 0 ? [] : [{ kind: 'publish-sound', parts }];
    }
    case 'heard-sound':
      recordSound(state, event.parts);
      return [];
    case 'heard-quarantined':
      if (event.item.parts.length === 0 || event.item.expiresAt <= event.now) return [];
      setQuarantined(state, event.item);
      narrowQuarantined(state);
      return [];
    default:
      return assertNever(event);
  }
}
