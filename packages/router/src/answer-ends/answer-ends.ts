/**
 * Finds out whether a server ended an answer itself that only the close of its connection ended, on a connection of this
 * VM or of a peer.
 */

import {
  judgeLife,
  judgeServerEnd,
  UNKNOWN_INCARNATION,
  type EndVerdict,
  type LifeAnswer,
  type UpstreamRecord,
} from '@tarragonspool/core';
import type { AnswerCut } from '@tarragonspool/protocol';
import type { Logger } from '../logging/logger.js';
import { awaitPromise, startTask, type Task } from '../tasks/tasks.js';
import { getSteadyMs } from '../time/steady-clock.js';
import { awaitEvidence } from './connection-evidence.js';
import { mergeEvidence, type EndQuestions } from './end-questions.js';
import type { ConnectionEvidence, ServerConnections } from './server-connections.js';

/** What a server's report says of its start; undefined as the incarnation if it does not tell. */
export type ReportedStart = { readonly incarnation: number | undefined };

/** Dependencies of the part. */
export type AnswerEndParts = {
  readonly connections: ServerConnections;
  readonly questions: Pick<EndQuestions, 'ask'>;
  /** Whether a server is known to leave, or to have left. */
  readonly isLeaving: (server: UpstreamRecord) => boolean;
  /** Whether this process stood still just now. */
  readonly hasStoodStill: () => boolean;
  readonly logger: Logger;
};

/** Reads the report of a server by any way; undefined if it does not answer until a time. */
export type ReadStart = (until: number) => Task<ReportedStart | undefined>;

/** Which start of a server makes an answer. */
export type AnswerMaker = { start: ReportedStart | undefined };

/** An answer that the close of its connection has ended. */
export type ClosedAnswer = {
  readonly server: UpstreamRecord;
  readonly requestId: string;
  /** Asks the server whether it lives. */
  readonly askLife: () => Task<LifeAnswer>;
  /** When the verdict is due. */
  readonly until: number;
  readonly hasAllTokens: boolean;
  /** How the connection ended as far as the events tell, where a peer had it. */
  readonly seenEnd: AnswerCut;
};

/** The ends of answers at one VM. */
export type AnswerEnds = {
  /** Asks which start of a server makes an answer that begins. */
  readonly beginAnswer: (readStart: ReadStart) => AnswerMaker;
  /** Judges whether the server ended an answer itself. */
  readonly awaitVerdict: (answer: ClosedAnswer) => Task<EndVerdict>;
};

/** Engines that run send more of an answer within this time; the ends of streams wait so long at most. */
const HEARD_WITHIN_MS = 600;
const START_TIMEOUT_MS = 1_000;

/** Judges whether the process that reports now is the one that made an answer. */
export function findLife(
  server: UpstreamRecord,
  { start: during }: AnswerMaker,
  after: ReportedStart | undefined,
): LifeAnswer {
  if (after === undefined) return 'none';
  // A server whose start is not known has none that could be compared.
  const listed = server.incarnation === UNKNOWN_INCARNATION ? undefined : server.incarnation;
  return judgeLife({
    during: during === undefined ? 'none' : during.incarnation,
    after: after.incarnation,
    listed,
  });
}

/** Makes the part of one VM. */
export function makeAnswerEnds(parts: AnswerEndParts): AnswerEnds {
  const { connections, questions, isLeaving, logger } = parts;

  /** Collects what the connections to a server tell; peers are asked where those of this VM don't show that it lives. */
  function* collectEvidence(
    { server: { address }, requestId, until }: ClosedAnswer,
    endedAt: number,
    asksPeers: boolean,
  ): Task<ConnectionEvidence> {
    const moment = { address, at: endedAt, requestId };
    const withinMs = Math.min(HEARD_WITHIN_MS, until - endedAt);
    const own = yield* awaitPromise(awaitEvidence(connections, moment, withinMs));
    if (own.isHeard || !asksPeers) return own;
    const told = yield* awaitPromise(questions.ask(address, endedAt));
    return mergeEvidence([own, told]);
  }

  return {
    beginAnswer: (readStart) => {
      const maker: AnswerMaker = { start: undefined };
      const ask = function* ask(): Task {
        maker.start = yield* readStart(getSteadyMs() + START_TIMEOUT_MS);
      };
      startTask('start of an answer', ask, (_name, error) => {
        if (error !== undefined) logger.error({ err: error }, 'ends: start not read');
      });
      return maker;
    },
    *awaitVerdict(answer) {
      const { server, requestId, askLife, hasAllTokens, seenEnd } = answer;
      // What is learned only after the end tells nothing of the time before it.
      const wasLeaving = isLeaving(server);
      const hasStoodStill = parts.hasStoodStill();
      const ownEnd = connections.findEnd(server.address, requestId);
      const endedAt = ownEnd?.at ?? getSteadyMs();
      const end: AnswerCut = ownEnd ?? seenEnd;
      const life = hasAllTokens ? 'none' : yield* askLife();
      const isKnown = life === 'same-process' || hasAllTokens;
      const { isHeard: isHeardAfter, endedBeside } = isKnown
        ? { isHeard: false, endedBeside: [] }
        : yield* collectEvidence(answer, endedAt, wasLeaving);
      const verdict = judgeServerEnd({
        life,
        isHeardAfter,
        hasAllTokens,
        isLeaving: wasLeaving,
        hasStoodStill,
        end,
        endedBeside,
      });
      const { upstreamId, incarnation } = server;
      logger.info(
        {
          requestId,
          upstreamId,
          incarnation,
          ...verdict,
          life,
          isHeardAfter,
          hasAllTokens,
          isLeaving: wasLeaving,
          hasStoodStill,
          isOwnConnection: ownEnd !== undefined,
          end,
          endedBeside,
          tookMs: getSteadyMs() - endedAt,
        },
        'ends: end judged',
      );
      return verdict;
    },
  };
}
