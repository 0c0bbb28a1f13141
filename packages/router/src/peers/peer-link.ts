/** One WebSocket link to a peer: hello, proof, then messages. */

import { randomBytes } from 'node:crypto';
import type { RawData, WebSocket } from 'ws';
import {
  ACCEPTED_KINDS,
  decodePeerFrame,
  encodePeerMessage,
  getResultCode,
  isAccepted,
  MAX_PEER_FRAME_BYTES,
  PEER_PROTOCOL_VERSION,
  type DataCentre,
  type DecodedFrame,
  type Incarnation,
  type PeerMessage,
  type ResultName,
  type VmId,
} from '@tarragonspool/protocol';
import { getSteadyMs } from '../time/steady-clock.js';
import { isProofValid, makeProof, type ProofSide } from './peer-proof.js';

/** Who a VM says it is. */
export type PeerIdentity = {
  readonly vmId: VmId;
  readonly incarnation: Incarnation;
  readonly dataCentre: DataCentre;
};

/** A link whose peer has proved that it knows the secret. */
export type PeerLink = {
  readonly peer: PeerIdentity;
  /** When the peer was last heard, on the steady clock, in milliseconds. */
  readonly getHeardAt: () => number;
  /** Sends a message; false if the peer's version does not know its kind. */
  readonly send: (message: PeerMessage) => boolean;
  /** Bytes that wait to be sent. */
  readonly countQueuedBytes: () => number;
  readonly close: () => void;
  /** Closes without waiting for the peer, which may not answer any more. */
  readonly cut: () => void;
};

/** Hears of a link. `onOpen` comes once, before any message. */
export type PeerLinkHandler = {
  readonly onOpen: (link: PeerLink) => void;
  readonly onMessage: (link: PeerLink, message: PeerMessage) => void;
  /** A message of a kind that only the peer's version knows came for the first time. */
  readonly onUnknownKind?: (link: PeerLink, kind: string) => void;
  readonly onClose: (link: PeerLink | undefined, detail: string) => void;
};

/** What a link needs besides its socket. */
export type PeerLinkParts = {
  readonly self: PeerIdentity;
  /** The first signs; all are accepted. */
  readonly secrets: readonly string[];
  readonly handshakeTimeoutMs: number;
};

const CLOSE_CODE_BASE = 4_000;
const CLOSE_CODE_RANGE = 1_000;
const NONCE_BYTES = 16;
const MAX_UNKNOWN_KINDS = 100;
const MAX_BUFFERED_BYTES = 2 * MAX_PEER_FRAME_BYTES;
const CLOSE_TIMEOUT_MS = 1_000;
const WS_TOO_LARGE = 'WS_ERR_UNSUPPORTED_MESSAGE_LENGTH';

/** Returns the WebSocket close code of a result. */
export function getCloseCode(name: ResultName): number {
  return CLOSE_CODE_BASE + (getResultCode(name).code % CLOSE_CODE_RANGE);
}

/** Runs the link's protocol on an open socket. */
export function startPeerLink(
  socket: WebSocket,
  parts: PeerLinkParts,
  handler: PeerLinkHandler,
): void {
  const { self, secrets } = parts;
  const own: ProofSide = { ...self, nonce: randomBytes(NONCE_BYTES).toString('hex') };
  let peer: PeerIdentity | undefined;
  let peerNonce = '';
  let peerAccepts: readonly string[] | undefined;
  const unknownKinds = new Set<string>();
  let link: PeerLink | undefined;
  let heardAt = getSteadyMs();
  let closedFor: ResultName | undefined;

  const send = (message: PeerMessage): boolean => {
    if (!isAccepted(message, peerAccepts)) return false;
    if (socket.readyState !== socket.OPEN) return true;
    if (socket.bufferedAmount > MAX_BUFFERED_BYTES) {
      socket.terminate();
      return true;
    }
    socket.send(encodePeerMessage(message));
    return true;
  };

  function closeFor(name: ResultName): void {
    if (closedFor !== undefined) return;
    closedFor = name;
    const { code, title } = getResultCode(name);
    socket.close(getCloseCode(name), `${code} ${title}`);
    setTimeout(() => socket.terminate(), CLOSE_TIMEOUT_MS).unref();
  }

  const timer = setTimeout(() => {
    if (link === undefined) closeFor('proof-failed');
  }, parts.handshakeTimeoutMs);

  function handleHello(message: Extract<PeerMessage, { kind: 'hello' }>): void {
    if (message.version !== PEER_PROTOCOL_VERSION) {
      closeFor('protocol-version');
      return;
    }
    if (peer !== undefined || message.vmId === self.vmId) {
      closeFor('proof-failed');
      return;
    }
    const { vmId, incarnation, dataCentre, nonce } = message;
    peer = { vmId, incarnation, dataCentre };
    peerNonce = nonce;
    peerAccepts = message.accepts;
    const subject = { prover: own, verifier: { ...peer, nonce } };
    send({ kind: 'proof', proof: makeProof(secrets[0] ?? '', subject) });
  }

  function handleProof(proof: string): void {
    const prover = peer && { ...peer, nonce: peerNonce };
    if (
      peer === undefined ||
      prover === undefined ||
      !isProofValid(secrets, { prover, verifier: own }, proof)
    ) {
      closeFor('proof-failed');
      return;
    }
    clearTimeout(timer);
    link = {
      peer,
      getHeardAt: () => heardAt,
      send,
      countQueuedBytes: () => socket.bufferedAmount,
      close: () => {
        socket.close();
        setTimeout(() => socket.terminate(), CLOSE_TIMEOUT_MS).unref();
      },
      cut: () => socket.terminate(),
    };
    handler.onOpen(link);
  }

  function handleMessage(message: PeerMessage): void {
    const isHandshake = message.kind === 'hello' || message.kind === 'proof';
    if (link !== undefined && !isHandshake) {
      handler.onMessage(link, message);
      return;
    }
    if (link !== undefined) closeFor('frame-malformed');
    else if (message.kind === 'hello') handleHello(message);
    else if (message.kind === 'proof') handleProof(message.proof);
    else closeFor('proof-failed');
  }

  /** Messages that only a newer version knows are left out; before the proof nothing may come but it. */
  function handleUnknownKind(name: string): void {
    if (link === undefined) {
      closeFor('proof-failed');
      return;
    }
    if (unknownKinds.has(name) || unknownKinds.size >= MAX_UNKNOWN_KINDS) return;
    unknownKinds.add(name);
    handler.onUnknownKind?.(link, name);
  }

  function handleFrame(frame: DecodedFrame): void {
    switch (frame.kind) {
      case 'message':
        handleMessage(frame.message);
        return;
      case 'unknown':
        handleUnknownKind(frame.name);
        return;
      case 'malformed':
        closeFor('frame-malformed');
        return;
      default:
        frame satisfies never;
    }
  }

  socket.on('message', (data: RawData, isBinary: boolean) => {
    if (closedFor !== undefined) return;
    heardAt = getSteadyMs();
    handleFrame(isBinary ? decodePeerFrame(data as Buffer) : { kind: 'malformed' });
  });
  socket.on('error', (error: NodeJS.ErrnoException) => {
    // The library has already sent close code 1009.
    if (error.code === WS_TOO_LARGE) closedFor = 'frame-too-large';
    else socket.terminate();
  });
  socket.on('close', (code, reason) => {
    clearTimeout(timer);
    const result = closedFor && getResultCode(closedFor);
    const detail = result === undefined ? `${code} ${reason.toString()}` : `${result.code}`;
    handler.onClose(link, detail);
  });
  const { vmId, incarnation, dataCentre } = self;
  const hello = { vmId, incarnation, dataCentre, nonce: own.nonce };
  send({ kind: 'hello', version: PEER_PROTOCOL_VERSION, accepts: ACCEPTED_KINDS, ...hello });
}
