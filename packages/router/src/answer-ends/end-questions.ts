/** Asks peers what their connections to a server tell of the moment at which an answer ended, and answers them. */

import { MAX_TOLD_ENDS, type RelayMessage, type VmId } from '@tarragonspool/protocol';
import type { Logger } from '../logging/logger.js';
import { getSteadyMs } from '../time/steady-clock.js';
import { awaitEvidence } from './connection-evidence.js';
import type { ConnectionEvidence, ServerConnections } from './server-connections.js';

/** Dependencies of the questions. */
export type EndQuestionParts = {
  readonly connections: Pick<ServerConnections, 'collectEvidence'>;
  readonly listPeers: () => readonly VmId[];
  /** Sends a message; false if there is no link, or the peer's version does not know its kind. */
  readonly sendTo: (vmId: VmId, message: RelayMessage) => boolean;
  /** Whether this process stood still just now, so that ends of connections may not have been read. */
  readonly hasStoodStill: () => boolean;
  readonly logger: Logger;
};

/** Questions to peers, and those of peers. */
export type EndQuestions = {
  /** Asks peers about a moment; what is not answered in time tells nothing. */
  readonly ask: (address: string, at: number) => Promise<ConnectionEvidence>;
  readonly handleQuestion: (from: VmId, number: number, address: string, agoMs: number) => void;
  readonly handleAnswer: (from: VmId, number: number, evidence: ConnectionEvidence) => void;
};

/** Peers that are asked about one answer. */
const MAX_ASKED_PEERS = 16;
/** A peer waits so long for more of an answer. */
const HEARD_WITHIN_MS = 600;
const ANSWER_TIMEOUT_MS = HEARD_WITHIN_MS + 100;

type OpenQuestion = {
  readonly waiting: Set<VmId>;
  readonly evidence: ConnectionEvidence[];
  readonly settle: (evidence: ConnectionEvidence) => void;
};

/** Joins what several VMs know of a server. */
export function mergeEvidence(parts: readonly ConnectionEvidence[]): ConnectionEvidence {
  return {
    isHeard: parts.some(({ isHeard }) => isHeard),
    endedBeside: parts.flatMap(({ endedBeside }) => endedBeside),
  };
}

/** Makes the questions of a VM. */
export function makeEndQuestions(parts: EndQuestionParts): EndQuestions {
  const open = new Map<number, OpenQuestion>();
  let lastNumber = 0;

  function finish(number: number): void {
    const question = open.get(number);
    open.delete(number);
    question?.settle(mergeEvidence(question.evidence));
  }

  async function answer(from: VmId, number: number, address: string, at: number): Promise<void> {
    const moment = { address, at, requestId: undefined };
    const known = await awaitEvidence(parts.connections, moment, HEARD_WITHIN_MS);
    const isHeard = known.isHeard && !parts.hasStoodStill();
    const endedBeside = known.endedBeside.slice(0, MAX_TOLD_ENDS);
    parts.sendTo(from, { kind: 'end-answer', number, isHeard, endedBeside });
  }

  return {
    ask: (address, at) => {
      lastNumber += 1;
      const number = lastNumber;
      const agoMs = getSteadyMs() - at;
      const message = { kind: 'end-question', number, address, agoMs } as const;
      const waiting = new Set<VmId>();
      for (const vmId of parts.listPeers()) {
        if (waiting.size >= MAX_ASKED_PEERS) break;
        if (parts.sendTo(vmId, message)) waiting.add(vmId);
      }
      if (waiting.size === 0) return Promise.resolve(mergeEvidence([]));
      return new Promise((settle) => {
        open.set(number, { waiting, evidence: [], settle });
        setTimeout(() => finish(number), ANSWER_TIMEOUT_MS);
      });
    },
    handleQuestion: (from, number, address, agoMs) => {
      answer(from, number, address, getSteadyMs() - agoMs).catch((error: unknown) => {
        parts.logger.error({ err: error, address }, 'ends: peer not answered');
      });
    },
    handleAnswer: (from, number, evidence) => {
      const question = open.get(number);
      if (question === undefined || !question.waiting.delete(from)) return;
      question.evidence.push(evidence);
      if (evidence.isHeard || question.waiting.size === 0) finish(number);
    },
  };
}
