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
  /** Tell peers that parts which were suspected, or are refused at a peer, are sound. */
  | { readonly kind: 'publish-sound'; readonly parts: readonly PromptPartId[] }
  | { readonly kind: 'quarantine'; readonly item: QuarantinedParts }
  /** Nothing is left of what was in quarantine. */
  | { readonly kind: 'lift'; readonly item: QuarantinedParts }
  /** A part has now been answered often. */
  | { readonly kind: 'keep-sound' };

/** A crash that was counted for a part. */
export type CountedCrash = { readonly crashId: string; readonly at: number };

/** What one VM knows of parts. */
export type PartState = {
  /** Crashes of parts since their last answer, the latest of them, in the order of time. */
  readonly suspicions: Map<PromptPartId, readonly CountedCrash[]>;
  /** Parts that were answered, and how often; the oldest are forgotten. */
  readonly sound: Map<PromptPartId, number>;
  /** What a peer or the store refuses and this VM doesn't, as it knows all these parts to be sound. */
  readonly disputed: Map<string, QuarantinedParts>;
  /** Parts that this VM has itself judged to be deadly. */
  readonly blamed: Set<PromptPartId>;
  readonly common: CommonParts;
  /** Parts in quarantine, by their ids. */
  readonly quarantined: Map<string, QuarantinedParts>;
  /** Parts that each of the latest crashes was counted for. */
  readonly countedCrashes: Map<string, Set<PromptPartId>>;
};

const QUARANTINE_CRASHES = 3;
/** A part that was answered before needs more evidence. */
const SOUND_QUARANTINE_CRASHES = 5;
/** And more still while a part that was at some of its crashes, and never answered, may be their cause. */
const SOUND_RIVAL_CRASHES = 8;
/** Further crashes of a part prove nothing more. */
const MAX_COUNTED = 8;
/** Parts with one crash less may be the cause as well: not every VM sees each crash. */
const MISSED_CRASHES = 1;
/** Engines that end at about the same time have one cause, such as the loss of power. */
const SAME_CAUSE_MS = 300;
const SUSPICION_TTL_MS = 600_000;
/** How long prompts with a part in quarantine are refused, in milliseconds. */
export const PART_QUARANTINE_MS = 3_600_000;
const MAX_SUSPICIONS = 10_000;
const MAX_SOUND = 10_000;
const MAX_DISPUTED = 200;
const MAX_BLAMED = 1_000;
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
    disputed: new Map(),
    blamed: new Set(),
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

/** Lists parts that were answered often and not blamed since, the latest of them. */
export function listOftenAnswered({ sound }: PartState): PromptPartId[] {
  const parts: PromptPartId[] = [];
  for (const [part, answers] of sound) {
    if (answers >= OFTEN_ANSWERED) parts.push(part);
  }
  return parts.slice(-MAX_TOLD_SOUND);
}

/** Whether crashes have been counted for a part since its last answer. */
export function hasCrashes({ suspicions }: PartState, part: PromptPartId): boolean {
  return suspicions.has(part);
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
  else addDisputed(state, item);
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

/** Counts a crash for a part; crashes at about the same time count once, and all are forgotten together. */
function countCrash(state: PartState, part: PromptPartId, crash: CountedCrash): void {
  const known = state.suspicions.get(part) ?? [];
  const lastAt = known.at(-1)?.at ?? -Infinity;
  const current = lastAt + SUSPICION_TTL_MS > crash.at ? known : [];
  if (current.some(({ at }) => Math.abs(crash.at - at) < SAME_CAUSE_MS)) return;
  const counted = [...current, crash].sort((first, second) => first.at - second.at);
  state.suspicions.delete(part);
  state.suspicions.set(part, counted.slice(-MAX_COUNTED));
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
