/**
 * Finds parts of prompts that crash engines, where the prompts are otherwise different. Each VM
 * judges from the crash reports of all. Parts that always came together are refused together, until
 * an answer shows which of them is sound. Returns actions only. Times are milliseconds on the
 * caller's steady clock.
 */

import { assertNever, type PromptPartId, type ServiceName } from '@tarragonspool/protocol';
import { dropOldest } from './drop-oldest.js';
import { addPrompt, isCommonPart, makeCommonParts, type CommonParts } from './common-parts.js';

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
  /** A peer or the store names parts that were answered often, at some time before. */
  | { readonly kind: 'known-sound'; readonly parts: readonly PromptPartId[] }
  /** A prompt with these parts came for a service. */
  | {
      readonly kind: 'arrived';
      readonly service: ServiceName;
      readonly parts: readonly PromptPartId[];
    }
  /** A peer or the store names parts in quarantine. */
  | { readonly kind: 'heard-quarantined'; readonly item: QuarantinedParts; readonly now: number };

/** Actions that the host must perform. */
export type PartAction =
  /** Tell peers that parts which were suspected are sound. */
  | { readonly kind: 'publish-sound'; readonly parts: readonly PromptPartId[] }
  | { readonly kind: 'quarantine'; readonly item: QuarantinedParts }
  /** Nothing is left of what was in quarantine. */
  | { readonly kind: 'lift'; readonly item: QuarantinedParts }
  /** A part has now been answered often. */
  | { readonly kind: 'keep-sound' };

type PartSuspicion = {
  /** Crashes since the last answer. */
  readonly crashes: number;
  readonly lastCountedAt: number;
};

/** What one VM knows of parts. */
export type PartState = {
  readonly suspicions: Map<PromptPartId, PartSuspicion>;
  /** Parts that were answered, and how often; the oldest are forgotten. */
  readonly sound: Map<PromptPartId, number>;
  readonly common: CommonParts;
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
/** Answers after which a part is told and stored as sound. */
const OFTEN_ANSWERED = 10;
const MAX_TOLD_SOUND = 50;
const MAX_QUARANTINED = 200;
const MAX_CRASHES = 100;

/** Makes the state of a VM that knows nothing. */
export function makePartState(): PartState {
  return {
    suspicions: new Map(),
    sound: new Map(),
    common: makeCommonParts(),
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

/** Takes sound parts out of what is in quarantine; returns the entries of which nothing is left. */
function narrowQuarantined(state: PartState): PartAction[] {
  const actions: PartAction[] = [];
  for (const [key, item] of [...state.quarantined]) {
    const left = item.parts.filter((part) => !state.sound.has(part));
    if (left.length === item.parts.length) continue;
    state.quarantined.delete(key);
    if (left.length > 0) setQuarantined(state, { ...item, parts: left });
    else actions.push({ kind: 'lift', item });
  }
  return actions;
}

function addSound({ sound }: PartState, part: PromptPartId, answers: number): void {
  // Added again at the end, as the latest.
  sound.delete(part);
  sound.set(part, answers);
  dropOldest(sound, MAX_SOUND);
}

/** Lists parts that were answered often and are not suspected, the latest of them. */
export function listOftenAnswered({ sound, suspicions }: PartState): PromptPartId[] {
  const parts: PromptPartId[] = [];
  for (const [part, answers] of sound) {
    if (answers >= OFTEN_ANSWERED && !suspicions.has(part)) parts.push(part);
  }
  return parts.slice(-MAX_TOLD_SOUND);
}

function isHeld({ quarantined }: PartState, part: PromptPartId): boolean {
  for (const { parts } of quarantined.values()) if (parts.includes(part)) return true;
  return false;
}

/** Records that parts are sound; returns those that were suspected, and what follows. */
function recordSound(
  state: PartState,
  parts: readonly PromptPartId[],
): { readonly cleared: readonly PromptPartId[]; readonly actions: readonly PartAction[] } {
  const cleared: PromptPartId[] = [];
  let isOftenNow = false;
  for (const part of parts) {
    const isRefused = isHeld(state, part);
    const answers = (state.sound.get(part) ?? 0) + 1;
    addSound(state, part, answers);
    isOftenNow ||= answers === OFTEN_ANSWERED;
    if (state.suspicions.delete(part) || isRefused) cleared.push(part);
  }
  const actions: PartAction[] = cleared.length > 0 ? narrowQuarantined(state) : [];
  if (isOftenNow) actions.push({ kind: 'keep-sound' });
  return { cleared, actions };
}

/** Records what was answered at some time before, which clears nothing that was counted since. */
function recordKnownSound(state: PartState, parts: readonly PromptPartId[]): void {
  for (const part of parts) {
    if (!state.sound.has(part) && !isHeld(state, part)) addSound(state, part, OFTEN_ANSWERED);
  }
}

/** Takes what a peer or the store refuses, less what this VM knows to be sound. */
function applyHeard(state: PartState, item: QuarantinedParts): void {
  const parts = item.parts.filter((part) => !state.sound.has(part));
  if (parts.length > 0) setQuarantined(state, { ...item, parts });
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
  // Crashes tell nothing against what is in nearly every prompt.
  const told = prompt.filter((part) => !isCommonPart(state.common, part));
  const isCertain = listCrashing(state, told, false, QUARANTINE_CRASHES).length > 0;
  const suspected = listCrashing(state, told, false, QUARANTINE_CRASHES - MISSED_CRASHES);
  if (suspected.length > 0) return isCertain ? suspected : [];
  return listCrashing(state, told, true, SOUND_QUARANTINE_CRASHES);
}

/** Judges a prompt after its crash was counted. */
function judgePrompt(state: PartState, prompt: readonly PromptPartId[], now: number): PartAction[] {
  if (findQuarantinedParts(state, prompt, now) !== undefined) return [];
  const parts = choosePartsToBlame(state, prompt);
  if (parts.length === 0) return [];
  const item = { parts: [...parts].sort(), expiresAt: now + PART_QUARANTINE_MS };
  setQuarantined(state, item);
  for (const part of parts) state.sound.delete(part);
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
      const { cleared: parts, actions } = recordSound(state, event.parts);
      return parts.length === 0 ? [...actions] : [{ kind: 'publish-sound', parts }, ...actions];
    }
    case 'heard-sound':
      return [...recordSound(state, event.parts).actions];
    case 'known-sound':
      recordKnownSound(state, event.parts);
      return [];
    case 'arrived':
      addPrompt(state.common, event.service, event.parts);
      return [];
    case 'heard-quarantined':
      if (event.item.parts.length === 0 || event.item.expiresAt <= event.now) return [];
      applyHeard(state, event.item);
      return [];
    default:
      return assertNever(event);
  }
}
