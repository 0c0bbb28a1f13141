/**
 * Sends requests of peers to servers over connections of this VM, and answers whether it reaches a server. A
 * peer decides about its requests; this VM adds what it knows itself of the server: that it leaves or pauses.
 */

import type { PathServer, SendClearance, SendRefusal } from '@tarragonspool/core';
import type {
  PathAnswer,
  RelayedEvent,
  RelayMessage,
  UpstreamId,
  VmId,
} from '@tarragonspool/protocol';
import type { Logger } from '../logging/logger.js';
import { getSteadyMs } from '../time/steady-clock.js';
import type { UpstreamEvent, UpstreamExchange } from '../upstreams/upstream-client.js';
import type { ServerClient } from './server-client.js';

/** What a peer asks to be sent. */
export type RelayedRequest = Extract<RelayMessage, { kind: 'relay-send' }>;

/** The body of a send, counted as held until it ends. */
export type BodyShare = { readonly end: () => void };

/** Dependencies of the relay. */
export type RelayServerParts = {
  readonly ask: (message: RelayedRequest) => SendClearance;
  /** Whether no connection of this VM to a server opens. */
  readonly isLost: (server: PathServer) => boolean;
  readonly sendDirect: ServerClient['sendDirect'];
  readonly tryPath: (upstreamId: UpstreamId) => Promise<PathAnswer>;
  readonly sendTo: (vmId: VmId, message: RelayMessage) => boolean;
  /** Bytes of messages to a peer that wait on its link. */
  readonly countQueuedBytes: (vmId: VmId) => number;
  /** Whether this process stood still just now, so that what it reads may be old. */
  readonly hasStoodStill: () => boolean;
  /** Begins to count the body of a send; undefined if there is no room for it. */
  readonly beginBody: (bytes: number) => BodyShare | undefined;
  /** Called as sends begin and end; a VM that stops waits for them. */
  readonly onCount: (change: 1 | -1) => void;
  readonly recordRelayed: (outcome: 'answered' | 'not-sent' | 'broken' | 'cancelled') => void;
  readonly logger: Logger;
};

/** The relay of one VM. */
export type RelayServer = {
  readonly handleSend: (from: VmId, message: RelayedRequest) => void;
  readonly handleCancel: (from: VmId, number: number) => void;
  readonly handleFlow: (from: VmId, number: number, isPaused: boolean) => void;
  readonly handleQuestion: (from: VmId, number: number, upstreamId: UpstreamId) => void;
  /** Whether this VM sends for a peer now. */
  readonly isUsedBy: (vmId: VmId) => boolean;
  /** Drops the sends of a peer whose link ended. */
  readonly handleLinkEnded: (vmId: VmId) => void;
};

/** Sends for peers that may be under way at a time. */
const MAX_RELAYED_SENDS = 400;
/** An answer is read on only while less than this waits on the link to its peer. */
const MAX_QUEUED_BYTES = 1_048_576;
const QUEUE_CHECK_MS = 20;

type RelayedExchange = {
  readonly exchange: UpstreamExchange;
  readonly body: BodyShare;
  isPausedByPeer: boolean;
  isPausedByLink: boolean;
};

type PeerSends = Map<number, RelayedExchange>;

/** Why a send of a peer is not made, as told to the peer; undefined if it may be. */
type NotSentReason =
  | SendRefusal['reason']
  | 'relay stood still'
  | 'relay has too many sends'
  | 'relay has no room for the body'
  | 'relay has no way to the server';

/** Makes the relay of a VM. */
export function makeRelayServer(parts: RelayServerParts): RelayServer {
  const { sendTo, logger, recordRelayed } = parts;
  const peers = new Map<VmId, PeerSends>();
  let openCount = 0;

  function tell(to: VmId, number: number, event: RelayedEvent): void {
    sendTo(to, { kind: 'relay-event', number, event });
  }

  function refuse(from: VmId, message: RelayedRequest, reason: NotSentReason): void {
    const { number, requestId, upstreamId } = message;
    logger.info({ requestId, upstreamId, peer: from, reason }, 'relays: send of a peer not made');
    recordRelayed('not-sent');
    tell(from, number, { kind: 'failed', isSent: false, reason });
  }

  function forget(from: VmId, number: number): RelayedExchange | undefined {
    const sends = peers.get(from);
    const relayed = sends?.get(number);
    if (relayed === undefined) return undefined;
    sends?.delete(number);
    relayed.body.end();
    openCount -= 1;
    parts.onCount(-1);
    return relayed;
  }

  function updateFlow({ exchange, isPausedByLink, isPausedByPeer }: RelayedExchange): void {
    if (isPausedByLink || isPausedByPeer) exchange.pause();
    else exchange.resume();
  }

  function awaitLink(to: VmId, relayed: RelayedExchange): void {
    setTimeout(() => {
      if (parts.countQueuedBytes(to) > MAX_QUEUED_BYTES) {
        awaitLink(to, relayed);
        return;
      }
      relayed.isPausedByLink = false;
      updateFlow(relayed);
    }, QUEUE_CHECK_MS);
  }

  function checkQueue(to: VmId, relayed: RelayedExchange): void {
    if (relayed.isPausedByLink || parts.countQueuedBytes(to) <= MAX_QUEUED_BYTES) return;
    relayed.isPausedByLink = true;
    updateFlow(relayed);
    awaitLink(to, relayed);
  }

  function handleEvent(from: VmId, message: RelayedRequest, event: UpstreamEvent): void {
    const { number, requestId, upstreamId } = message;
    switch (event.kind) {
      case 'head': {
        const { status, framing, rawHeaders } = event;
        const headers = event.headers as Record<string, string | string[]>;
        tell(from, number, { kind: 'head', status, framing, headers, rawHeaders });
        return;
      }
      case 'data': {
        tell(from, number, event);
        const relayed = peers.get(from)?.get(number);
        if (relayed !== undefined) checkQueue(from, relayed);
        return;
      }
      case 'ended':
        forget(from, number);
        recordRelayed('answered');
        tell(from, number, event);
        return;
      case 'failed': {
        forget(from, number);
        const { isSent, reason } = event;
        logger.info({ requestId, upstreamId, peer: from, isSent, reason }, 'relays: send failed');
        recordRelayed(isSent ? 'broken' : 'not-sent');
        tell(from, number, event);
        return;
      }
      default:
        event satisfies never;
    }
  }

  /** Finds why nothing is sent for peers now, whatever the server. */
  function findOwnReason(): NotSentReason | undefined {
    // The peer may have given up what was read only now, and told its caller so.
    if (parts.hasStoodStill()) return 'relay stood still';
    return openCount >= MAX_RELAYED_SENDS ? 'relay has too many sends' : undefined;
  }

  return {
    handleSend: (from, message) => {
      const { number, requestId, upstreamId, method, path, headers, body } = message;
      const ownReason = findOwnReason();
      if (ownReason !== undefined) {
        refuse(from, message, ownReason);
        return;
      }
      const clearance = parts.ask(message);
      if (clearance.kind === 'refused') {
        refuse(from, message, clearance.refusal.reason);
        return;
      }
      const { server } = clearance;
      if (parts.isLost(server)) {
        refuse(from, message, 'relay has no way to the server');
        return;
      }
      const bodyShare = parts.beginBody(body.length);
      if (bodyShare === undefined) {
        refuse(from, message, 'relay has no room for the body');
        return;
      }
      logger.info({ requestId, upstreamId, peer: from }, 'relays: sends for a peer');
      const exchange = parts.sendDirect(
        { server, requestId, method, path, headers, body, onSent: () => undefined },
        (event) => handleEvent(from, message, event),
      );
      const sends: PeerSends = peers.get(from) ?? new Map<number, RelayedExchange>();
      peers.set(from, sends);
      sends.set(number, {
        exchange,
        body: bodyShare,
        isPausedByPeer: false,
        isPausedByLink: false,
      });
      openCount += 1;
      parts.onCount(1);
    },
    handleCancel: (from, number) => {
      const relayed = forget(from, number);
      if (relayed === undefined) return;
      recordRelayed('cancelled');
      relayed.exchange.cancel();
    },
    handleFlow: (from, number, isPaused) => {
      const relayed = peers.get(from)?.get(number);
      if (relayed === undefined) return;
      relayed.isPausedByPeer = isPaused;
      updateFlow(relayed);
    },
    handleQuestion: (from, number, upstreamId) => {
      parts.tryPath(upstreamId).then(
        (answer) => sendTo(from, { kind: 'path-answer', number, answer }),
        (error: unknown) => logger.error({ upstreamId, err: error }, 'relays: path not tried'),
      );
    },
    isUsedBy: (vmId) => (peers.get(vmId)?.size ?? 0) > 0,
    handleLinkEnded: (vmId) => {
      for (const number of [...(peers.get(vmId)?.keys() ?? [])]) {
        const relayed = forget(vmId, number);
        recordRelayed('cancelled');
        relayed?.exchange.cancel();
      }
      peers.delete(vmId);
    },
  };
}

/** A gap between ticks, or a change of the clocks' difference, shows that this process stood still. */
const TICK_MS = 100;
const STOOD_STILL_MS = 250;
/** What arrived meanwhile is read within this time. */
const CATCH_UP_MS = 250;

/**
 * Makes the check whether this process stood still a moment ago. `hasBeenSuspended` says whether its
 * machine may have been suspended since it was last called.
 */
export function startStandstillCheck(hasBeenSuspended: () => boolean): () => boolean {
  let tickedAt = getSteadyMs();
  let staleUntil = 0;

  function check(): boolean {
    const now = getSteadyMs();
    const hasStood = now - tickedAt > STOOD_STILL_MS || hasBeenSuspended();
    tickedAt = now;
    if (hasStood) staleUntil = now + CATCH_UP_MS;
    return now < staleUntil;
  }

  setInterval(check, TICK_MS).unref();
  return check;
}
