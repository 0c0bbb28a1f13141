/** Sends requests to servers by way of peers that reach them, and asks peers whether they do. */

import type {
  DataCentre,
  PathAnswer,
  RelayedEvent,
  RelayMessage,
  UpstreamId,
  VmId,
} from '@tarragonspool/protocol';
import { MAX_PEER_FRAME_BYTES } from '@tarragonspool/protocol';
import { findHeadFault } from '../http/answer-head.js';
import type { Logger } from '../logging/logger.js';
import type { UpstreamEvent, UpstreamExchange } from '../upstreams/upstream-client.js';
import { getSteadyMs } from '../time/steady-clock.js';
import type { ServerCall } from './server-call.js';

/** A linked peer that says that it reaches servers. */
export type RelayPeer = { readonly vmId: VmId; readonly dataCentre: DataCentre };

/** Dependencies of the client. */
export type RelayClientParts = {
  readonly dataCentre: DataCentre;
  /** Lists the peers that may reach a server. */
  readonly listPeers: (upstreamId: UpstreamId, now: number) => readonly RelayPeer[];
  readonly sendTo: (vmId: VmId, message: RelayMessage) => boolean;
  readonly takeFraction: () => number;
  /** Called for each request that a peer is asked to send. */
  readonly onSent: () => void;
  readonly logger: Logger;
};

/** The client of one VM. */
export type RelayClient = {
  /**
   * Sends a request by way of a peer that is not among `tried`, which it is added to; undefined if there
   * is none.
   */
  readonly send: (
    call: ServerCall,
    tried: Set<VmId>,
    onEvent: (event: UpstreamEvent) => void,
  ) => UpstreamExchange | undefined;
  /** Whether any peer may reach a server. */
  readonly hasPeer: (upstreamId: UpstreamId) => boolean;
  /** Asks peers whether a connection to a server opens there; `opened` if one of them says so. */
  readonly askPath: (upstreamId: UpstreamId) => Promise<PathAnswer>;
  readonly handleEvent: (from: VmId, number: number, event: RelayedEvent) => void;
  readonly handleAnswer: (from: VmId, number: number, answer: PathAnswer) => void;
  /** Whether a peer sends for this VM now. */
  readonly isUsing: (vmId: VmId) => boolean;
  /** Fails what was sent over an earlier link to a peer. */
  readonly handleLinkEnded: (vmId: VmId) => void;
};

/** Room in a frame for the fields beside the body. */
const FRAME_MARGIN_BYTES = 65_536;
const MAX_BODY_BYTES = MAX_PEER_FRAME_BYTES - FRAME_MARGIN_BYTES;
/** A peer that could not send a request is passed over for this long. */
const AVOID_PEER_MS = 1_000;
/** Peers that are asked whether they reach a server. */
const MAX_ASKED_PEERS = 3;
/** A peer tries to open a connection for less than this. */
const ANSWER_TIMEOUT_MS = 600;

type RelayedSend = { readonly peer: VmId; readonly emit: (event: UpstreamEvent) => void };

type PathQuestion = {
  readonly waiting: Set<VmId>;
  readonly settle: (answer: PathAnswer) => void;
  answer: PathAnswer;
};

/** Makes the client of a VM. */
export function makeRelayClient(parts: RelayClientParts): RelayClient {
  const { sendTo, logger, takeFraction } = parts;
  const sends = new Map<number, RelayedSend>();
  const questions = new Map<number, PathQuestion>();
  const avoidUntil = new Map<VmId, number>();
  let lastNumber = 0;

  /** Lists the peers that may be used, nearer ones first, equal ones in random order. */
  function listCandidates(upstreamId: UpstreamId, tried: ReadonlySet<VmId>): RelayPeer[] {
    const now = getSteadyMs();
    const usable = parts.listPeers(upstreamId, now).filter(({ vmId }) => !tried.has(vmId));
    const ranked = usable.map((peer) => {
      const isAvoided = (avoidUntil.get(peer.vmId) ?? 0) > now;
      const isFar = peer.dataCentre !== parts.dataCentre;
      return { peer, cost: (isAvoided ? 2 : 0) + (isFar ? 1 : 0) + takeFraction() };
    });
    ranked.sort((a, b) => a.cost - b.cost);
    return ranked.map(({ peer }) => peer);
  }

  function countNumber(): number {
    lastNumber += 1;
    return lastNumber;
  }

  function fail(number: number, isSent: boolean, reason: string): void {
    const send = sends.get(number);
    sends.delete(number);
    send?.emit({ kind: 'failed', isSent, reason });
  }

  function makeExchange(number: number, peer: VmId): UpstreamExchange {
    const tell = (message: RelayMessage): void => {
      if (sends.has(number)) sendTo(peer, message);
    };
    return {
      cancel: () => {
        tell({ kind: 'relay-cancel', number });
        sends.delete(number);
      },
      abort: (reason) => {
        tell({ kind: 'relay-cancel', number });
        fail(number, true, reason);
      },
      pause: () => tell({ kind: 'relay-flow', number, isPaused: true }),
      resume: () => tell({ kind: 'relay-flow', number, isPaused: false }),
    };
  }

  function finishQuestion(number: number): void {
    const question = questions.get(number);
    questions.delete(number);
    question?.settle(question.answer);
  }

  return {
    send: (call, tried, onEvent) => {
      if (call.body.length > MAX_BODY_BYTES) return undefined;
      const [peer] = listCandidates(call.server.upstreamId, tried);
      if (peer === undefined) return undefined;
      const { vmId } = peer;
      tried.add(vmId);
      const number = countNumber();
      const { requestId, method, path, headers, body } = call;
      const { upstreamId, incarnation } = call.server;
      sends.set(number, { peer: vmId, emit: onEvent });
      const target = { requestId, upstreamId, incarnation };
      sendTo(vmId, { kind: 'relay-send', number, ...target, method, path, headers, body });
      parts.onSent();
      call.onSent();
      logger.info({ requestId, upstreamId, peer: vmId }, 'relays: sent by way of a peer');
      return makeExchange(number, vmId);
    },
    hasPeer: (upstreamId) => parts.listPeers(upstreamId, getSteadyMs()).length > 0,
    askPath: (upstreamId) => {
      const asked = listCandidates(upstreamId, new Set()).slice(0, MAX_ASKED_PEERS);
      if (asked.length === 0) return Promise.resolve('unknown');
      const number = countNumber();
      return new Promise((settle) => {
        const waiting = new Set(asked.map(({ vmId }) => vmId));
        questions.set(number, { waiting, settle, answer: 'unknown' });
        setTimeout(() => finishQuestion(number), ANSWER_TIMEOUT_MS);
        for (const vmId of waiting) sendTo(vmId, { kind: 'path-question', number, upstreamId });
      });
    },
    handleEvent: (from, number, event) => {
      const send = sends.get(number);
      if (send === undefined || send.peer !== from) return;
      if (event.kind === 'failed' && !event.isSent) {
        avoidUntil.set(from, getSteadyMs() + AVOID_PEER_MS);
      }
      const fault =
        event.kind === 'head' ? findHeadFault(event.status, event.rawHeaders) : undefined;
      if (fault !== undefined) {
        sendTo(from, { kind: 'relay-cancel', number });
        fail(number, true, fault);
        return;
      }
      if (event.kind === 'failed' || event.kind === 'ended') sends.delete(number);
      send.emit(event);
    },
    handleAnswer: (from, number, answer) => {
      const question = questions.get(number);
      if (question === undefined || !question.waiting.delete(from)) return;
      if (answer !== 'unknown') question.answer = answer;
      if (answer === 'opened' || question.waiting.size === 0) finishQuestion(number);
    },
    isUsing: (vmId) => [...sends.values()].some(({ peer }) => peer === vmId),
    handleLinkEnded: (vmId) => {
      for (const [number, { peer }] of sends) {
        if (peer === vmId) fail(number, true, 'link to the peer ended');
      }
    },
  };
}
