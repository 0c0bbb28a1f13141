/**
 * Refuses prompts with a part that crashes engines. VMs send each other the crashes that they saw, so
 * that all judge from the same reports.
 */

import {
  findQuarantinedParts,
  handlePartEvent,
  listQuarantinedParts,
  makePartState,
  type PartAction,
  type PartEvent,
  type QuarantinedParts,
} from '@tarragonspool/core';
import type { PromptPartId, PromptPartsMessage, QuarantineScope } from '@tarragonspool/protocol';
import type { Logger } from '../logging/logger.js';
import { getSteadyMs } from '../time/steady-clock.js';
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
  /** Takes parts that the store lists. */
  readonly mergeStored: (items: readonly QuarantinedParts[]) => void;
  /** Lists what a VM is told as its link opens. */
  readonly listTold: () => readonly PromptPartsMessage[];
};

/** Dependencies of the guard. */
export type PartGuardParts = {
  readonly broadcast: (message: PromptPartsMessage) => void;
  /** Lists the scopes in which requests reach the server of a crash, or any server if none is named. */
  readonly listScopes: (crashId: string | undefined) => readonly QuarantineScope[];
  /** Called when what is in quarantine has changed, by a report of this VM or of a peer. */
  readonly onChanged: (isOwnReport: boolean) => void;
  readonly logger: Logger;
  readonly getNow?: () => number;
};

/** A VM that can't read what the store lists does without it after this time. */
const MAX_UNREAD_MS = 3_000;
/** A log line names at most this many prompts. */
const MAX_LOGGED_PROMPTS = 4;

/** Makes the part guard of this VM. */
export function makePartGuard(parts: PartGuardParts): PartGuard {
  const { logger } = parts;
  const getNow = parts.getNow ?? getSteadyMs;
  const state = makePartState();
  const trustedAfter = getNow() + MAX_UNREAD_MS;
  let hasReadStore = false;

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
        parts.onChanged(isOwnReport);
        return;
      }
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
    { crash, sound, quarantined }: PromptPartsMessage,
  ): void {
    const now = getNow();
    const nameAll = (named: readonly PromptPartId[]): PromptPartId[] =>
      named.map((part) => scopePart(scope, part));
    if (crash !== undefined) {
      const report = { crashId: crash.crashId, prompts: crash.prompts.map(nameAll) };
      apply({ kind: 'crashed', report, now });
    }
    if (sound.length > 0) apply({ kind: 'heard-sound', parts: nameAll(sound) });
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
    listTold: () => {
      const now = getNow();
      const told: PromptPartsMessage[] = [];
      for (const { parts: refused, expiresAt } of listQuarantinedParts(state, now)) {
        for (const [scope, named] of splitScopes(refused)) {
          const quarantined = [{ parts: named, endsInMs: expiresAt - now }];
          told.push({ kind: 'prompt-parts', isRelayed: true, scope, sound: [], quarantined });
        }
      }
      return told;
    },
    mergeStored: (items) => {
      hasReadStore = true;
      const now = getNow();
      for (const item of items) apply({ kind: 'heard-quarantined', item, now });
    },
  };
}
