import type { AttemptId, RequestId, ReservationGrant } from '@tarragonspool/protocol';
import { expect } from 'chai';
import fc from 'fast-check';
import { findNextRequestTick, handleRequestEvent, startRequest } from './request-machine.js';
import type { RequestAction, RequestEvent } from './request-messages.js';
import { makeRequestState, type RequestState } from './request-state.js';
import { makeRetryBudget } from './retry-budget.js';

type Step = {
  /** Kind of the event; from `EVENT_KINDS` on, the one that the phase waits for. */
  readonly what: number;
  /** Number of attempts before the current one that the event belongs to. */
  readonly back: number;
  /** Selects a variant of the event, such as the failure or a token offset. */
  readonly index: number;
  readonly waitMs: number;
};

/** Model of what an observer knows from events and actions alone. */
type Oracle = {
  terminals: number;
  written: number;
  /** Orders that may hold memory on an engine, as `engine attempt`. */
  readonly open: Set<string>;
  /** Attempts whose grant was used and whose end is not yet reported. */
  readonly granted: Set<string>;
  readonly asked: Set<string>;
  dispatches: number;
  /** Attempt of the last decode order; only its frames may be written. */
  decoding: string;
};

const MAX_TICKS = 2_000;
const EVENT_KINDS = 12;

/** Kind of the event that each phase waits for, as `makeEvent` numbers them. */
const EXPECTED_KINDS: Readonly<Record<RequestState['phase'], number>> = {
  asking: 0,
  scheduled: 11,
  prefilling: 2,
  importing: 4,
  decoding: 5,
  ended: 11,
};

const stepArbitrary: fc.Arbitrary<Step> = fc.record({
  what: fc.nat(EVENT_KINDS * 2),
  back: fc.oneof({ weight: 4, arbitrary: fc.constant(0) }, { weight: 1, arbitrary: fc.nat(2) }),
  index: fc.oneof({ weight: 8, arbitrary: fc.constant(0) }, { weight: 1, arbitrary: fc.nat(2) }),
  waitMs: fc.oneof(
    { weight: 6, arbitrary: fc.nat(40) },
    { weight: 1, arbitrary: fc.nat(1_500) },
    { weight: 1, arbitrary: fc.constant(30_000) },
  ),
});

function makeGrant(attemptId: AttemptId, now: number): ReservationGrant {
  return {
    reservationId: `g-${attemptId}`,
    attemptId,
    prefill: `p-${attemptId}`,
    decode: `d-${attemptId}`,
    prefillAt: now + 10,
    startDeadline: now + 300,
    predictedFirstTokenAt: now + 200,
    predictedAnswerAt: now + 2_000,
  } as ReservationGrant;
}

function makeEvent(oracle: Oracle, attempt: number, step: Step, now: number): RequestEvent {
  const attemptId = `r.${Math.max(1, attempt - step.back)}` as AttemptId;
  const failure = (['unsent', 'declined', 'broken'] as const)[step.index] ?? 'broken';
  const detail = 'x';
  switch (step.what) {
    case 0:
    case 1:
      return { kind: 'granted', grant: makeGrant(attemptId, now), now };
    case 2:
    case 3: {
      const result = { promptTokens: 9, cachedTokens: step.index, kvBytes: 1 };
      return { kind: 'prefilled', attemptId, result, now };
    }
    case 4:
      return { kind: 'frame', frame: { kind: 'imported', attemptId }, now };
    case 5:
    case 6: {
      const index = Math.max(0, oracle.written + ([0, 1, -1][step.index] ?? 0));
      return { kind: 'frame', frame: { kind: 'token', attemptId, index, text: 't' }, now };
    }
    case 7: {
      const tokens = oracle.written + step.index;
      return {
        kind: 'frame',
        frame: { kind: 'end', attemptId, tokens, finishReason: 'stop' },
        now,
      };
    }
    case 8:
      return { kind: 'prefill-failed', attemptId, failure, detail, now };
    case 9:
      return { kind: 'decode-failed', attemptId, failure, detail, now };
    case 10: {
      const refusal = { name: 'queue-full', ran: 'not-run', detail } as const;
      return { kind: 'refused', attemptId, refusal, now };
    }
    default:
      return { kind: step.index === 2 ? 'caller-gone' : 'ticked', now };
  }
}

function applyFailure(oracle: Oracle, event: RequestEvent): void {
  // An order that was not sent or was declined holds no memory.
  if (event.kind === 'prefill-failed' && event.failure === 'unsent') oracle.dispatches -= 1;
  if (event.kind === 'prefill-failed' && event.failure !== 'broken') {
    oracle.open.delete(`p-${event.attemptId} ${event.attemptId}`);
  }
  if (event.kind === 'decode-failed' && event.failure !== 'broken') {
    oracle.open.delete(`d-${event.attemptId} ${event.attemptId}`);
  }
}

function checkAction(oracle: Oracle, action: RequestAction): void {
  expect(oracle.terminals, 'an action after the terminal one').to.equal(0);
  switch (action.kind) {
    case 'ask':
      oracle.asked.add(action.attemptId);
      return;
    case 'withdraw':
      oracle.asked.delete(action.attemptId);
      return;
    case 'start-prefill':
      oracle.dispatches += 1;
      oracle.granted.add(action.grant.attemptId);
      oracle.open.add(`${action.grant.prefill} ${action.grant.attemptId}`);
      return;
    case 'start-decode':
      oracle.granted.add(action.grant.attemptId);
      oracle.decoding = action.grant.attemptId;
      oracle.open.add(`${action.grant.decode} ${action.grant.attemptId}`);
      return;
    case 'cancel':
      oracle.open.delete(`${action.upstreamId} ${action.attemptId}`);
      return;
    case 'report-end':
      oracle.granted.delete(action.end.attemptId);
      return;
    case 'write-token':
      expect(action.attemptId, 'a frame of the current attempt').to.equal(oracle.decoding);
      expect(action.index, 'tokens in order').to.equal(oracle.written);
      oracle.written += 1;
      return;
    case 'finish':
      oracle.terminals += 1;
      expect(action.tokens, 'a whole answer').to.equal(oracle.written);
      return;
    case 'fail':
      oracle.terminals += 1;
      if (action.refusal.ran === 'not-run') expect(oracle.dispatches, 'not run').to.equal(0);
      break;
    default:
  }
}

it('requests fuzz: one terminal action, tokens in order, every order ended, not-run only if none sent', () => {
  fc.assert(
    fc.property(fc.array(stepArbitrary, { maxLength: 80 }), (steps) => {
      let now = 0;
      const state = makeRequestState(
        {
          requestId: 'r' as RequestId,
          promptTokens: 9,
          answerDeadline: 8_000,
          lastDeadline: 38_000,
          maxTokens: 100,
          objective: 'tail',
          budget: makeRetryBudget(),
        },
        now,
      );
      const oracle: Oracle = {
        terminals: 0,
        written: 0,
        open: new Set(),
        granted: new Set(),
        asked: new Set(),
        dispatches: 0,
        decoding: '',
      };
      for (const action of startRequest(state)) checkAction(oracle, action);
      function releaseOnFrame(event: Extract<RequestEvent, { kind: 'frame' }>): void {
        const { frame } = event;
        if (frame.attemptId !== state.attemptId) return;
        const { source, movedAttempt, phase } = state;
        if (
          frame.kind === 'token' &&
          phase === 'importing' &&
          source &&
          movedAttempt === undefined
        ) {
          oracle.open.delete(`${source.upstreamId} ${source.attemptId}`);
        }
        const isWhole = frame.kind === 'end' && frame.tokens === oracle.written;
        if (isWhole && phase === 'decoding') {
          oracle.open.delete(`d-${frame.attemptId} ${frame.attemptId}`);
        }
      }
      const applyEvent = (event: RequestEvent): void => {
        const wasCurrent = 'attemptId' in event && event.attemptId === state.attemptId;
        const isPrefilling = wasCurrent && state.phase === 'prefilling';
        const isDecoding = state.phase === 'importing' || state.phase === 'decoding';
        if (event.kind === 'prefill-failed' && isPrefilling) applyFailure(oracle, event);
        if (event.kind === 'decode-failed' && wasCurrent && isDecoding) applyFailure(oracle, event);
        if (event.kind === 'frame' && event.frame.kind === 'imported') {
          // The prefill engine released its memory with the export to this attempt.
          const { source, movedAttempt } = state;
          const isCurrent =
            event.frame.attemptId === state.attemptId && state.phase === 'importing';
          if (isCurrent && source !== undefined && movedAttempt === undefined) {
            oracle.open.delete(`${source.upstreamId} ${source.attemptId}`);
          }
        }
        if (event.kind === 'frame' && event.frame.kind !== 'imported') releaseOnFrame(event);
        if (event.kind === 'granted') oracle.asked.delete(event.grant.attemptId);
        if (event.kind === 'refused') oracle.asked.delete(event.attemptId);
        for (const action of handleRequestEvent(state, event)) checkAction(oracle, action);
      };
      for (const step of steps) {
        now += step.waitMs;
        const what = step.what < EVENT_KINDS ? step.what : EXPECTED_KINDS[state.phase];
        applyEvent(makeEvent(oracle, state.attemptNumber, { ...step, what }, now));
      }
      for (let round = 0; round < MAX_TICKS && state.phase !== 'ended'; round += 1) {
        now = Math.max(now + 1, findNextRequestTick(state));
        applyEvent({ kind: 'ticked', now });
      }
      expect(oracle.terminals, 'one terminal action').to.equal(1);
      expect([...oracle.open], 'orders neither ended nor cancelled').to.deep.equal([]);
      expect(
        [...oracle.asked],
        'reservation requests neither answered nor withdrawn',
      ).to.deep.equal([]);
      expect([...oracle.granted], 'grants not reported').to.deep.equal([]);
    }),
  );
});
