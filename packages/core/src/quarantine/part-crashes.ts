/** Counts crashes for parts of prompts, those that this VM hears of and those that peers have counted. */

import type { PromptPartId } from '@tarragonspool/protocol';
import { dropOldest } from './drop-oldest.js';
import {
  findQuarantinedParts,
  type CountedCrash,
  type CountedParts,
  type PartState,
} from './part-state.js';

/** Engines that end at about the same time have one cause, such as the loss of power. */
const SAME_CAUSE_MS = 300;
const SUSPICION_TTL_MS = 600_000;
/** Further crashes of a part prove nothing more. */
const MAX_COUNTED = 8;
const MAX_SUSPICIONS = 10_000;
/** Parts whose crashes are told, those with the most. */
const MAX_TOLD_SUSPECTED = 100;
const MAX_CRASHES = 100;

/** Whether crashes have been counted for a part since its last answer. */
export function hasCrashes({ suspicions }: PartState, part: PromptPartId): boolean {
  return suspicions.has(part);
}

/** Finds the parts that a crash was counted for; adds an empty set for a crash that is new. */
export function findCountedParts(state: PartState, crashId: string): Set<PromptPartId> {
  const known = state.countedCrashes.get(crashId);
  if (known !== undefined) return known;
  const counted = new Set<PromptPartId>();
  state.countedCrashes.set(crashId, counted);
  dropOldest(state.countedCrashes, MAX_CRASHES);
  return counted;
}

/** Counts a crash for a part; crashes at about the same time count once, and all are forgotten together. */
export function countCrash(state: PartState, part: PromptPartId, crash: CountedCrash): void {
  const known = state.suspicions.get(part) ?? [];
  const lastAt = known.at(-1)?.at ?? -Infinity;
  const current = lastAt + SUSPICION_TTL_MS > crash.at ? known : [];
  if (current.some(({ at }) => Math.abs(crash.at - at) < SAME_CAUSE_MS)) return;
  const counted = [...current, crash].sort((first, second) => first.at - second.at);
  state.suspicions.delete(part);
  state.suspicions.set(part, counted.slice(-MAX_COUNTED));
  dropOldest(state.suspicions, MAX_SUSPICIONS);
}

/** Lists the crashes that count against parts, as peers are told. */
export function listCounted({ suspicions }: PartState, now: number): CountedParts[] {
  const current = [...suspicions].filter(
    ([, crashes]) => (crashes.at(-1)?.at ?? -Infinity) + SUSPICION_TTL_MS > now,
  );
  current.sort(([, first], [, second]) => second.length - first.length);
  const byCrash = new Map<string, CountedCrash & { readonly parts: PromptPartId[] }>();
  for (const [part, crashes] of current.slice(0, MAX_TOLD_SUSPECTED)) {
    for (const { crashId, at } of crashes) {
      const told = byCrash.get(crashId) ?? { crashId, at, parts: [] };
      told.parts.push(part);
      byCrash.set(crashId, told);
    }
  }
  return [...byCrash.values()];
}

/** Counts what a peer has counted, unless it was counted here, and perhaps cleared since, or is explained here. */
export function applyHeardCounted(
  state: PartState,
  crashes: readonly CountedParts[],
  now: number,
): void {
  for (const { crashId, at, parts } of crashes) {
    const isOver = at + SUSPICION_TTL_MS <= now;
    if (isOver || findQuarantinedParts(state, parts, now) !== undefined) continue;
    const counted = findCountedParts(state, crashId);
    for (const part of parts) {
      if (counted.has(part)) continue;
      counted.add(part);
      countCrash(state, part, { crashId, at });
    }
  }
}
