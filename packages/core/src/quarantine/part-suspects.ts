/**
 * Finds parts of prompts that crash engines, where the prompts are otherwise different. Each VM
 * judges from the crash reports of all. Parts that always came together are refused together, until
 * an answer shows which of them is sound. Returns actions only. Times are milliseconds on the
 * caller's steady clock.
 */

import { assertNever, type PromptPartId } from '@tarragonspool/protocol';
import { addPrompt, isCommonPart } from './common-parts.js';
import { dropOldest } from './drop-oldest.js';
import { applyHeardCounted, countCrash, findCountedParts } from './part-crashes.js';
import {
  findQuarantinedParts,
  hasAll,
  type CrashReport,
  type PartAction,
  type PartEvent,
  type PartState,
  type QuarantinedParts,
} from './part-state.js';

export type {
  CountedCrash,
  CountedParts,
  CrashReport,
  PartAction,
  PartEvent,
  PartState,
  QuarantinedParts,
} from './part-state.js';
export { hasCrashes, listCounted } from './part-crashes.js';
export { findQuarantinedParts, listQuarantinedParts, makePartState } from './part-state.js';

const QUARANTINE_CRASHES = 3;
/** A part that was answered before needs more evidence. */
const SOUND_QUARANTINE_CRASHES = 5;
/** And more still while a part that was at some of its crashes, and never answered, may be their cause. */
const SOUND_RIVAL_CRASHES = 8;
/** Parts with one crash less may be the cause as well: not every VM sees each crash. */
const MISSED_CRASHES = 1;
/** How long prompts with a part in quarantine are refused, in milliseconds. */
export const PART_QUARANTINE_MS = 3_600_000;
const MAX_SOUND = 10_000;
const MAX_DISPUTED = 200;
const MAX_BLAMED = 1_000;
/** Answers after which a part is told and stored as sound. */
const OFTEN_ANSWERED = 10;
const MAX_TOLD_SOUND = 50;
const MAX_QUARANTINED = 200;

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

/** Lists parts that were answered often and not blamed since, the latest of them. */
export function listOftenAnswered({ sound }: PartState): PromptPartId[] {
  const parts: PromptPartId[] = [];
  for (const [part, answers] of sound) {
    if (answers >= OFTEN_ANSWERED) parts.push(part);
  }
  return parts.slice(-MAX_TOLD_SOUND);
}

function isHeld({ quarantined }: PartState, part: PromptPartId): boolean {
  for (const { parts } of quarantined.values()) if (parts.includes(part)) return true;
  return false;
}

/**
 * Ends what peers or the store refuse of a part that was answered now. Who refuses it sends no prompt with it any
 * more, so VMs that don't are to tell, though nothing counts against it here.
 */
function liftDisputed(state: PartState, part: PromptPartId): PartAction[] {
  const actions: PartAction[] = [];
  for (const [key, item] of state.disputed) {
    if (!item.parts.includes(part)) continue;
    state.disputed.delete(key);
    actions.push({ kind: 'lift', item });
  }
  return actions;
}

/** Records that parts are sound; returns those that were suspected, and what follows. */
function recordSound(
  state: PartState,
  parts: readonly PromptPartId[],
): { readonly cleared: readonly PromptPartId[]; readonly actions: readonly PartAction[] } {
  const cleared: PromptPartId[] = [];
  const ended: PartAction[] = [];
  let isOftenNow = false;
  for (const part of parts) {
    const isRefused = isHeld(state, part);
    state.blamed.delete(part);
    const answers = (state.sound.get(part) ?? 0) + 1;
    addSound(state, part, answers);
    isOftenNow ||= answers === OFTEN_ANSWERED;
    const lifted = liftDisputed(state, part);
    ended.push(...lifted);
    if (state.suspicions.delete(part) || isRefused || lifted.length > 0) cleared.push(part);
  }
  const actions = cleared.length > 0 ? [...ended, ...narrowQuarantined(state)] : [];
  if (isOftenNow) actions.push({ kind: 'keep-sound' });
  return { cleared, actions };
}

/** Remembers what others refuse though all of it is known here to be sound. */
function addDisputed({ disputed }: PartState, item: QuarantinedParts): void {
  disputed.set(item.parts.join(), item);
  dropOldest(disputed, MAX_DISPUTED);
}

/**
 * Records what was answered at some time before, which clears nothing that was counted since, nor what this VM
 * has judged. What it refuses only on the word of others is judged here anew, whoever of them was heard first.
 */
function recordKnownSound(state: PartState, parts: readonly PromptPartId[]): void {
  for (const part of parts) {
    if (state.sound.has(part) || state.blamed.has(part)) continue;
    addSound(state, part, OFTEN_ANSWERED);
  }
  // Rows and peers keep the refusal until an answer ends it.
  for (const action of narrowQuarantined(state)) {
    if (action.kind === 'lift') addDisputed(state, action.item);
  }
}

/** Takes what a peer or the store refuses, less what this VM knows to be sound. */
function applyHeard(state: PartState, item: QuarantinedParts): void {
  const parts = item.parts.filter((part) => !state.sound.has(part));
  if (parts.length > 0) setQuarantined(state, { ...item, parts });
  // Rows of older versions can't be ended, and would be heard again with each change of the rows.
  else if (item.isFromOlder !== true) addDisputed(state, item);
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
    const counted = state.suspicions.get(part)?.length ?? 0;
    if (counted >= crashes && state.sound.has(part) === isSound) found.push(part);
  }
  return found;
}

/** Leaves out what is in nearly every prompt: crashes tell nothing against it. */
function excludeCommon(
  { common }: PartState,
  parts: Iterable<PromptPartId>,
): readonly PromptPartId[] {
  return [...parts].filter((part) => !isCommonPart(common, part));
}

/** Lists the parts that were never answered and may be the cause of crashes. */
function listSuspected(state: PartState, parts: readonly PromptPartId[]): PromptPartId[] {
  return listCrashing(state, parts, false, QUARANTINE_CRASHES - MISSED_CRASHES);
}

/** Whether a part that was never answered may have caused some of the crashes that count against a sound one. */
function hasRival(state: PartState, part: PromptPartId): boolean {
  for (const { crashId } of state.suspicions.get(part) ?? []) {
    const others = excludeCommon(state, state.countedCrashes.get(crashId) ?? []);
    if (listSuspected(state, others).length > 0) return true;
  }
  return false;
}

/** Chooses the parts of a prompt to blame: those never answered, or if none is suspected, others. */
function choosePartsToBlame(
  state: PartState,
  prompt: readonly PromptPartId[],
): readonly PromptPartId[] {
  const told = excludeCommon(state, prompt);
  const isCertain = listCrashing(state, told, false, QUARANTINE_CRASHES).length > 0;
  if (isCertain) return listSuspected(state, told);
  if (listSuspected(state, told).length > 0) return [];
  const certain = listCrashing(state, told, true, SOUND_RIVAL_CRASHES);
  if (certain.length > 0) return certain;
  const crashing = listCrashing(state, told, true, SOUND_QUARANTINE_CRASHES);
  return crashing.filter((part) => !hasRival(state, part));
}

/** Judges a prompt after its crash was counted. */
function judgePrompt(state: PartState, prompt: readonly PromptPartId[], now: number): PartAction[] {
  if (findQuarantinedParts(state, prompt, now) !== undefined) return [];
  const parts = choosePartsToBlame(state, prompt);
  if (parts.length === 0) return [];
  const item = { parts: [...parts].sort(), expiresAt: now + PART_QUARANTINE_MS };
  setQuarantined(state, item);
  for (const [key, other] of state.disputed) {
    if (other.parts.some((part) => parts.includes(part))) state.disputed.delete(key);
  }
  for (const part of parts) {
    state.sound.delete(part);
    state.blamed.add(part);
    dropOldest(state.blamed, MAX_BLAMED);
  }
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
    countCrash(state, part, { crashId: report.crashId, at: now });
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
    case 'heard-counted':
      applyHeardCounted(state, event.crashes, event.now);
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
