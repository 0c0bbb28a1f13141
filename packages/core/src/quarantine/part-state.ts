/** Events, actions and state of the judgement of prompt parts. */

import type { PromptPartId, ServiceName } from '@tarragonspool/protocol';
import { makeCommonParts, type CommonParts } from './common-parts.js';

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
  /** A peer tells of crashes that count against parts, at some time before. */
  | {
      readonly kind: 'heard-counted';
      readonly crashes: readonly CountedParts[];
      readonly now: number;
    }
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

/** A crash, and the parts that it counts against. */
export type CountedParts = CountedCrash & { readonly parts: readonly PromptPartId[] };

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

/** Whether a prompt has all of these parts. */
export function hasAll(parts: readonly PromptPartId[], wanted: readonly PromptPartId[]): boolean {
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
