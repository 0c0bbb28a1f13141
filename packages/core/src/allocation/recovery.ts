/**
 * Advises when an entry VM should try to move an attempt that makes no progress. The VM requests
 * another reservation while the attempt continues; the allocator, which sees the whole pool, grants
 * or refuses it immediately.
 */

import type { ReservationGrant } from '@tarragonspool/protocol';
import type { AllocationObjective } from './allocator-events.js';
import { getObjectiveSettings } from './objectives.js';

/** State of one attempt as its entry VM sees it. */
export type AttemptView = {
  readonly grant: ReservationGrant;
  readonly stage: 'prefill' | 'decode';
  readonly promptTokens: number;
  readonly maxTokens: number;
  /** Tokens that have arrived. */
  readonly tokens: number;
  /** When the prefill was ordered, or when the last token arrived. */
  readonly movedAt: number;
  /** When a move of this attempt was last requested; zero if never. */
  readonly askedAt: number;
};

/**
 * `replace-prefill`: request a reservation with `movesFrom` and the prefill engine excluded, and
 * cancel the first attempt once granted. `resume`: request one with `movesFrom`, and with
 * `resumeFrom` so that it takes only another decode slot.
 */
export type RecoveryAdvice = 'wait' | 'replace-prefill' | 'resume';

const MIN_STALL_MS = 80;
const MIN_PREFILL_OVERRUN_MS = 60;
const MOVE_REQUEST_INTERVAL_MS = 150;
/** How long an engine is expected to stay stalled, unless it has already been for longer. */
const MIN_EXPECTED_STALL_MS = 500;
const MOVE_OVERHEAD_MS = 30;
const MOVE_TOKENS_PER_MS = 50;

function predictTokenGapMs({ grant, maxTokens }: AttemptView): number {
  const spanMs = grant.predictedAnswerAt - grant.predictedFirstTokenAt;
  return Math.max(1, spanMs / Math.max(1, maxTokens - 1));
}

function adviseDecode(view: AttemptView, maxSilentTokenGaps: number, now: number): RecoveryAdvice {
  const gapMs = predictTokenGapMs(view);
  const stalledMs = now - view.movedAt;
  if (stalledMs < Math.max(MIN_STALL_MS, maxSilentTokenGaps * gapMs)) return 'wait';
  const remainingTokens = Math.max(0, view.maxTokens - view.tokens);
  const expectedStallMs = Math.max(MIN_EXPECTED_STALL_MS, stalledMs);
  const waitMs = Math.min(remainingTokens * stalledMs, expectedStallMs + remainingTokens * gapMs);
  const moveMs =
    MOVE_OVERHEAD_MS +
    (view.promptTokens + view.tokens) / MOVE_TOKENS_PER_MS +
    remainingTokens * gapMs;
  return moveMs < waitMs ? 'resume' : 'wait';
}

function advisePrefill(
  { grant }: AttemptView,
  maxOverrunShare: number,
  now: number,
): RecoveryAdvice {
  const predictedMs = grant.predictedFirstTokenAt - grant.prefillAt;
  const allowedMs = Math.max(MIN_PREFILL_OVERRUN_MS, maxOverrunShare * predictedMs);
  return now > grant.predictedFirstTokenAt + allowedMs ? 'replace-prefill' : 'wait';
}

/** Advises whether to wait for one attempt or to try to move it. */
export function adviseRecovery(
  view: AttemptView,
  objective: AllocationObjective,
  now: number,
): RecoveryAdvice {
  if (now < view.askedAt + MOVE_REQUEST_INTERVAL_MS) return 'wait';
  const { maxSilentTokenGaps, maxPrefillOverrunShare } = getObjectiveSettings(objective);
  return view.stage === 'decode'
    ? adviseDecode(view, maxSilentTokenGaps, now)
    : advisePrefill(view, maxPrefillOverrunShare, now);
}
