/**
 * Says when an entry VM should try to move an attempt that does not come on. It asks for other places
 * while the attempt goes on, and the allocator, which sees the whole pool, grants or refuses at once.
 */

import type { ReservationGrant } from '@tarragonspool/protocol';
import type { AllocationObjective } from './allocator-events.js';
import { getObjectiveSettings } from './objectives.js';

/** What an entry VM knows of one of its attempts. */
export type AttemptView = {
  readonly grant: ReservationGrant;
  readonly stage: 'prefill' | 'decode';
  readonly promptTokens: number;
  readonly maxTokens: number;
  /** Tokens that have arrived. */
  readonly tokens: number;
  /** When the prefill was ordered, or when the last token arrived. */
  readonly movedAt: number;
  /** When this attempt last asked to be moved; zero if never. */
  readonly askedAt: number;
};

/**
 * `replace-prefill`: ask with `movesFrom` and the prefill engine excluded, and cancel the first attempt
 * once granted. `resume`: ask with `movesFrom`, and `resumeFrom` for another decode place only.
 */
export type RecoveryAdvice = 'wait' | 'replace-prefill' | 'resume';

const MIN_STALL_MS = 80;
const MIN_PREFILL_DELAY_MS = 60;
const ASK_INTERVAL_MS = 150;
/** How long a straggling engine is expected to go on, unless it already has for longer. */
const MIN_STRAGGLE_MS = 500;
const MOVE_MS = 30;
const MOVE_TOKENS_PER_MS = 50;

function findTokenGapMs({ grant, maxTokens }: AttemptView): number {
  const spanMs = grant.predictedAnswerAt - grant.predictedFirstTokenAt;
  return Math.max(1, spanMs / Math.max(1, maxTokens - 1));
}

function adviseStream(view: AttemptView, suspectGaps: number, now: number): RecoveryAdvice {
  const gapMs = findTokenGapMs(view);
  const stalledMs = now - view.movedAt;
  if (stalledMs < Math.max(MIN_STALL_MS, suspectGaps * gapMs)) return 'wait';
  const left = Math.max(0, view.maxTokens - view.tokens);
  const straggleMs = Math.max(MIN_STRAGGLE_MS, stalledMs);
  const waitMs = Math.min(left * stalledMs, straggleMs + left * gapMs);
  const moveMs = MOVE_MS + (view.promptTokens + view.tokens) / MOVE_TOKENS_PER_MS + left * gapMs;
  return moveMs < waitMs ? 'resume' : 'wait';
}

function advisePrefill({ grant }: AttemptView, overrun: number, now: number): RecoveryAdvice {
  const predictedMs = grant.predictedFirstTokenAt - grant.prefillAt;
  const allowedMs = Math.max(MIN_PREFILL_DELAY_MS, overrun * predictedMs);
  return now > grant.predictedFirstTokenAt + allowedMs ? 'replace-prefill' : 'wait';
}

/** Advises on one attempt. */
export function adviseRecovery(
  view: AttemptView,
  objective: AllocationObjective,
  now: number,
): RecoveryAdvice {
  if (now < view.askedAt + ASK_INTERVAL_MS) return 'wait';
  const { suspectGaps, suspectOverrun } = getObjectiveSettings(objective);
  return view.stage === 'decode'
    ? adviseStream(view, suspectGaps, now)
    : advisePrefill(view, suspectOverrun, now);
}
