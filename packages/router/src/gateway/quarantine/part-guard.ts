/**
 * Refuses prompts with a part that crashes engines. VMs send each other the crashes that they saw, so
 * that all judge from the same reports.
 */

import {
  dropOldest,
  findQuarantinedParts,
  handlePartEvent,
  hasCrashes,
  listOftenAnswered,
  listQuarantinedParts,
  makePartState,
  type PartAction,
  type PartEvent,
  type QuarantinedParts,
} from '@tarragonspool/core';
import type {
  PromptPartId,
  PromptPartsMessage,
  QuarantineScope,
  ServiceName,
} from '@tarragonspool/protocol';
import type { Logger } from '../../logging/logger.js';
import { getSteadyMs } from '../../time/steady-clock.js';
import { makePartKey } from './part-rows.js';
import { scopePart, splitScopes } from './quarantine-scope.js';

/** Part guard of one VM. */
export type PartGuard = {
  /** False while this process has started a short time ago and not read what the store lists. */
  readonly hasCaughtUp: () => boolean;
  /** Finds parts in quarantine among the shared parts of a prompt. */
  readonly findQuarantined: (shared: readonly PromptPartId[]) => QuarantinedParts | undefined;
  readonly listQuarantined: () => readonly QuarantinedParts[];
  /** Records that one run of an engine ended before it had sent events for these prompts. */
  readonly recordCrash: (crashId: string, prompts: readonly (readonly PromptPartId[])[]) => void;
  /** Records that an engine has gone on with an answer to a prompt with these parts. */
  readonly recordAnswered: (parts: readonly PromptPartId[]) => void;
  readonly handleMessage: (message: PromptPartsMessage) => void;
  /** Records that a prompt with these parts came for a service. */
  readonly recordArrival: (service: ServiceName, parts: readonly PromptPartId[]) => void;
  /** Takes parts that the store lists, those in quarantine and those that were answered often. */
  readonly mergeStored: (
    items: readonly QuarantinedParts[],
    sound: readonly PromptPartId[],
  ) => void;
  /** Lists parts that were answered often. */
  readonly listOftenAnswered: () => readonly PromptPartId[];
  /** Keys of the rows of parts whose refusal has ended. */
  readonly listLifted: () => ReadonlySet<string>;
  /** Lists what a VM is told as its link opens. */
  readonly listTold: () => readonly PromptPartsMessage[];
};

/** Dependencies of the guard. */
export type PartGuardParts = {
  readonly broadcast: (message: PromptPartsMessage) => void;
  /** Lists the scopes in which requests reach the server of a crash, or any server if none is named. */
  readonly listScopes: (crashId: string | undefined) => readonly QuarantineScope[];
  /** Called when rows may lack something, by a report of this VM or of a peer. */
  readonly onChanged: (isOwnReport: boolean) => void;
  readonly logger: Logger;
  readonly getNow?: () => number;
};

/** A VM that can't read what the store lists does without it after this time. */
const MAX_UNREAD_MS = 3_000;
/** A log line names at most this many prompts. */
const MAX_LOGGED_PROMPTS = 4;
/** Refusals that ended are kept out of the store, the latest of them. */
const MAX_LIFTED = 1_000;

/** Names the rows of parts, one for each scope. */
function listKeys(parts: readonly PromptPartId[]): string[] {
  return [...splitScopes(parts)].map(([scope, own]) => makePartKey(scope, own));
}

/** Makes the part guard of this VM. */
export function makePartGuard(parts: PartGuardParts): PartGuard {
  const { logger } = parts;
  const getNow = parts.getNow ?? getSteadyMs;
  const state = makePartState();
  const trustedAfter = getNow() + MAX_UNREAD_MS;
  let hasReadStore = false;
  const lifted = new Set<string>();

  /** Performs an action; VMs that judge from the report of another leave it to that one to tell. */
  function perform(action: PartAction, isOwnReport: boolean): void {
    switch (action.kind) {
      case 'publish-sound':
        logger.info({ parts: action.parts }, 'quarantine: suspected parts were answered');
        for (const [scope, sound] of splitScopes(action.parts)) {
          parts.broadcast({ kind: 'prompt-parts', scope, sound, quarantined: [] });
        }
        parts.onChanged(true);
        return;
      case 'quarantine': {
        const { expiresAt, parts: refused } = action.item;
        logger.warn({ parts: refused }, 'quarantine: prompts with these parts are refused');
        const endsInMs = expiresAt - getNow();
        for (const [scope, named] of isOwnReport ? splitScopes(refused) : []) {
          const quarantined = [{ parts: named, endsInMs }];
          parts.broadcast({ kind: 'prompt-parts', scope, sound: [], quarantined });
        }
        for (const key of listKeys(refused)) lifted.delete(key);
        parts.onChanged(isOwnReport);
        return;
      }
      case 'lift':
        logger.info({ parts: action.item.parts }, 'quarantine: refused parts were answered');
        for (const key of listKeys(action.item.parts)) lifted.add(key);
        dropOldest(lifted, MAX_LIFTED);
        parts.onChanged(isOwnReport);
        return;
      case 'keep-sound':
        parts.onChanged(false);
        return;
      default:
        action satisfies never;
    }
  }

  function apply(event: PartEvent, isOwnReport = false): void {
    for (const action of handlePartEvent(state, event)) perform(action, isOwnReport);
  }

  function tellCrash(crashId: string, prompts: readonly (readonly PromptPartId[])[]): void {
    const byScope = new Map<QuarantineScope, PromptPartId[][]>();
    for (const prompt of prompts) {
      for (const [scope, named] of splitScopes(prompt)) {
        byScope.set(scope, [...(byScope.get(scope) ?? []), named]);
      }
    }
    for (const [scope, named] of byScope) {
      const crash = { crashId, prompts: named };
      parts.broadcast({ kind: 'prompt-parts', scope, crash, sound: [], quarantined: [] });
    }
  }

  function applyMessage(
    scope: QuarantineScope,
    { crash, sound, isEarlier, soundBefore = [], quarantined }: PromptPartsMessage,
  ): void {
    const now = getNow();
    const nameAll = (named: readonly PromptPartId[]): PromptPartId[] =>
      named.map((part) => scopePart(scope, part));
    if (crash !== undefined) {
      const report = { crashId: crash.crashId, prompts: crash.prompts.map(nameAll) };
      apply({ kind: 'crashed', report, now });
    }
    const soundKind = isEarlier === true ? 'known-sound' : 'heard-sound';
    if (sound.length > 0) apply({ kind: soundKind, parts: nameAll(sound) });
    if (soundBefore.length > 0) apply({ kind: 'known-sound', parts: nameAll(soundBefore) });
    for (const { parts: refused, endsInMs } of quarantined) {
      const item = { parts: nameAll(refused), expiresAt: now + endsInMs };
      apply({ kind: 'heard-quarantined', item, now });
    }
  }

  return {
    hasCaughtUp: () => hasReadStore || getNow() > trustedAfter,
    findQuarantined: (shared) => findQuarantinedParts(state, shared, getNow()),
    listQuarantined: () => listQuarantinedParts(state, getNow()),
    recordCrash: (crashId, prompts) => {
      const logged = prompts.slice(0, MAX_LOGGED_PROMPTS).map((shared) => shared.join());
      logger.warn(
        { crashId, count: prompts.length, prompts: logged },
        'quarantine: an engine crashed before it had sent events for these prompts',
      );
      // Before the judgement, so that peers hear of the crash first.
      tellCrash(crashId, prompts);
      apply({ kind: 'crashed', report: { crashId, prompts }, now: getNow() }, true);
    },
    recordAnswered: (shared) => apply({ kind: 'answered', parts: shared }),
    handleMessage: (message) => {
      const { scope, crash, quarantined } = message;
      const scopes = scope === undefined ? parts.listScopes(crash?.crashId) : [scope];
      for (const named of scopes) applyMessage(named, message);
      if (quarantined.length > 0) parts.onChanged(false);
    },
    recordArrival: (service, shared) => {
      if (shared.length > 0) apply({ kind: 'arrived', service, parts: shared });
    },
    listOftenAnswered: () => listOftenAnswered(state),
    listLifted: () => lifted,
    listTold: () => {
      const now = getNow();
      const told: PromptPartsMessage[] = [];
      for (const [scope, own] of splitScopes(listOftenAnswered(state))) {
        const isSuspected = (part: PromptPartId): boolean =>
          hasCrashes(state, scopePart(scope, part));
        const sound = own.filter((part) => !isSuspected(part));
        const soundBefore = own.filter(isSuspected);
        const earlier = { isEarlier: true, isRelayed: true, scope, sound, soundBefore };
        told.push({ kind: 'prompt-parts', ...earlier, quarantined: [] });
      }
      for (const { parts: refused, expiresAt } of listQuarantinedParts(state, now)) {
        for (const [scope, named] of splitScopes(refused)) {
          const quarantined = [{ parts: named, endsInMs: expiresAt - now }];
          told.push({ kind: 'prompt-parts', isRelayed: true, scope, sound: [], quarantined });
        }
      }
      return told;
    },
    mergeStored: (items, sound) => {
      hasReadStore = true;
      const now = getNow();
      // What was sound before it came into quarantine is not sound any more; older versions may have forgotten it.
      const refused = new Set(
        items.filter(({ isFromOlder }) => isFromOlder !== true).flatMap((item) => item.parts),
      );
      const stillSound = sound.filter((part) => !refused.has(part));
      apply({ kind: 'known-sound', parts: stillSound });
      for (const item of items) apply({ kind: 'heard-quarantined', item, now });
    },
  };
}
