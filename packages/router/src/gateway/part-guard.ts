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
import type { PromptPartId, PromptPartsMessage } from '@tarragonspool/protocol';
import type { Logger } from '../logging/logger.js';
import { getSteadyMs } from '../time/steady-clock.js';

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
};

/** Dependencies of the guard. */
export type PartGuardParts = {
  readonly broadcast: (message: PromptPartsMessage) => void;
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
        parts.broadcast({ kind: 'prompt-parts', sound: action.parts, quarantined: [] });
        parts.onChanged(true);
        return;
      case 'quarantine': {
        const { expiresAt, parts: refused } = action.item;
        logger.warn({ parts: refused }, 'quarantine: prompts with these parts are refused');
        const item = { parts: refused, endsInMs: expiresAt - getNow() };
        if (isOwnReport) parts.broadcast({ kind: 'prompt-parts', sound: [], quarantined: [item] });
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
      const report = { crashId, prompts };
      // Before the judgement, so that peers hear of the crash first.
      parts.broadcast({ kind: 'prompt-parts', crash: report, sound: [], quarantined: [] });
      apply({ kind: 'crashed', report, now: getNow() }, true);
    },
    recordAnswered: (shared) => apply({ kind: 'answered', parts: shared }),
    handleMessage: ({ crash, sound, quarantined }) => {
      const now = getNow();
      if (crash !== undefined) apply({ kind: 'crashed', report: crash, now });
      if (sound.length > 0) apply({ kind: 'heard-sound', parts: sound });
      for (const { parts: refused, endsInMs } of quarantined) {
        const item = { parts: refused, expiresAt: now + endsInMs };
        apply({ kind: 'heard-quarantined', item, now });
      }
      if (quarantined.length > 0) parts.onChanged(false);
    },
    mergeStored: (items) => {
      hasReadStore = true;
      const now = getNow();
      for (const item of items) apply({ kind: 'heard-quarantined', item, now });
    },
  };
}
