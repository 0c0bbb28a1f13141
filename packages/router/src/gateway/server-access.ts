/**
 * This VM's ways to servers: its own connections, and peers that send for it where these do not open. Also
 * sends for peers itself.
 */

import { askSend, type UpstreamList, type UpstreamRecord } from '@tarragonspool/core';
import type {
  PathAnswer,
  PeerMessage,
  RelayMessage,
  UpstreamId,
  VmId,
} from '@tarragonspool/protocol';
import type { Logger } from '../logging/logger.js';
import type { FleetView } from '../peers/fleet-view.js';
import type { PeerMesh } from '../peers/peer-mesh.js';
import { makeEndQuestions, type EndQuestions } from '../answer-ends/end-questions.js';
import {
  makeServerConnections,
  type ServerConnections,
} from '../answer-ends/server-connections.js';
import { startPathWatch, type PathWatch } from '../relays/path-watch.js';
import { makeRelayClient, type RelayPeer } from '../relays/relay-client.js';
import {
  makeRelayServer,
  startStandstillCheck,
  type RelayedRequest,
} from '../relays/relay-server.js';
import { makeServerClient, type ServerClient } from '../relays/server-client.js';
import { getSteadyMs } from '../time/steady-clock.js';
import { makeUpstreamClient } from '../upstreams/upstream-client.js';
import type { GatewayMetrics } from './gateway-metrics.js';
import type { GatewaySettings, HttpDialect } from './ports.js';
import type { HeldBytes } from '../intake/held-bytes.js';
import { probeAddress } from './probe-address.js';
import { makeSuspensionCheck } from './versions/service-versions.js';
import { makeFramingRecord } from '../intake/size-cuts.js';

/** Links to the peers that send for this VM; undefined before they are started. */
export type RelayLinks = {
  readonly mesh: Pick<PeerMesh, 'links' | 'sendTo'> | undefined;
  /** Tells peers at once which servers this VM fails to reach. */
  readonly tellAlive?: () => void;
};

/** Dependencies of the access to servers. */
export type ServerAccessParts = {
  readonly settings: Pick<GatewaySettings, 'dataCentre'>;
  readonly upstreams: UpstreamList;
  readonly fleet: Pick<FleetView, 'listRelays' | 'setCutOff'>;
  readonly meshHolder: RelayLinks;
  readonly takeFraction: () => number;
  readonly decodeRequestId: HttpDialect['decodeRequestId'];
  /** Path of servers' reports. */
  readonly reportPath: string;
  /** Begins to count the body of a peer's request; undefined if there is no room for it. */
  readonly beginBody: HeldBytes['beginWholeBody'];
  /** Called with the number of bytes of each part of an answer. */
  readonly onRead: (bytes: number) => void;
  /** Called as sends for peers begin and end. */
  readonly onRelayedCount: (change: 1 | -1) => void;
  readonly metrics: Pick<GatewayMetrics, 'cutOff' | 'relayedSends' | 'sizeCuts'>;
  readonly logger: Logger;
};

/** Access to servers. */
export type ServerAccess = {
  readonly client: ServerClient;
  readonly paths: PathWatch;
  readonly connections: ServerConnections;
  /** Asks peers what they know of the end of an answer. */
  readonly endQuestions: Pick<EndQuestions, 'ask'>;
  /** Whether this process stood still just now, so that what it reads may be old. */
  readonly hasStoodStill: () => boolean;
  /** Whether a request may reach a server, over a connection of this VM or by way of a peer. */
  readonly hasWay: (server: UpstreamRecord) => boolean;
  /**
   * Whether a server takes a connection, of this VM or of a peer; `unknown` where nobody who reaches another
   * one could try.
   */
  readonly tryServer: (upstreamId: UpstreamId) => Promise<PathAnswer>;
  readonly handleMessage: (from: VmId, message: RelayMessage) => void;
  /** Whether the link to a peer carries a send, in either direction. */
  readonly isLinkUsed: (vmId: VmId) => boolean;
  /** Ends what was sent over an earlier link to a peer, in both directions. */
  readonly handleLinkEnded: (vmId: VmId) => void;
};

const RELAY_MESSAGE_KINDS: ReadonlySet<string> = new Set<RelayMessage['kind']>([
  'relay-send',
  'relay-event',
  'relay-cancel',
  'relay-flow',
  'path-question',
  'path-answer',
  'end-question',
  'end-answer',
]);

/** Whether a message belongs to the access to servers. */
export function isRelayMessage(message: PeerMessage): message is RelayMessage {
  return RELAY_MESSAGE_KINDS.has(message.kind);
}

function listRelayPeers(
  { fleet, meshHolder }: ServerAccessParts,
  upstreamId: UpstreamId,
  now: number,
): RelayPeer[] {
  const peers: RelayPeer[] = [];
  for (const vmId of fleet.listRelays(upstreamId, now)) {
    const peer = meshHolder.mesh?.links.get(vmId)?.peer;
    if (peer !== undefined) peers.push(peer);
  }
  return peers;
}

/** Whether a peer asks for a server's report, which is no request of a caller: those have ids. */
function isReportCall(
  { reportPath }: ServerAccessParts,
  { requestId, method, path, body }: RelayedRequest,
): boolean {
  const isRead = method === 'GET' && path === reportPath && body.length === 0;
  return isRead && requestId === undefined;
}

/** Starts the watch of this VM's ways to servers, and makes what sends over them. */
export function startServerAccess(parts: ServerAccessParts): ServerAccess {
  const { settings, upstreams, fleet, meshHolder, takeFraction, metrics, logger } = parts;
  const { decodeRequestId, onRead } = parts;
  const connections = makeServerConnections();
  const hasStoodStill = startStandstillCheck(makeSuspensionCheck());
  const onOverFramed = makeFramingRecord({ metrics, logger });
  const direct = makeUpstreamClient({
    keepsConnections: true,
    decodeRequestId,
    onOverFramed,
    onRead,
    connections,
  });
  const sendTo = (vmId: VmId, message: RelayMessage): boolean =>
    meshHolder.mesh?.sendTo(vmId, message) ?? false;
  const paths = startPathWatch({
    records: upstreams.records,
    probe: probeAddress,
    onLost: ({ address }) => {
      // Idle connections may have lost their way too, and would be silent.
      direct.dropIdle(address);
      meshHolder.tellAlive?.();
    },
    onCutOffChanged: (isCutOffNow) => {
      metrics.cutOff.set(isCutOffNow ? 1 : 0);
      fleet.setCutOff(isCutOffNow);
      meshHolder.tellAlive?.();
    },
    logger,
  });
  const relayClient = makeRelayClient({
    dataCentre: settings.dataCentre,
    listPeers: (upstreamId, now) => listRelayPeers(parts, upstreamId, now),
    sendTo,
    takeFraction,
    onSent: () => metrics.relayedSends.inc({ side: 'asked', outcome: 'sent' }),
    logger,
  });
  const client = makeServerClient({ direct, paths, relays: relayClient });
  const relayServer = makeRelayServer({
    ask: (message) => {
      const { upstreamId, incarnation } = message;
      const isReport = isReportCall(parts, message);
      const question = { kind: 'relayed', incarnation, isReport } as const;
      return askSend(upstreams, upstreamId, question, getSteadyMs());
    },
    isLost: paths.isLost,
    sendDirect: client.sendDirect,
    tryPath: paths.tryPath,
    sendTo,
    countQueuedBytes: (vmId) => meshHolder.mesh?.links.get(vmId)?.countQueuedBytes() ?? 0,
    beginBody: parts.beginBody,
    hasStoodStill,
    onCount: parts.onRelayedCount,
    recordRelayed: (outcome) => metrics.relayedSends.inc({ side: 'made', outcome }),
    logger,
  });

  const endQuestions = makeEndQuestions({
    connections,
    listPeers: () => [...(meshHolder.mesh?.links.keys() ?? [])],
    sendTo,
    hasStoodStill,
    logger,
  });

  return {
    client,
    paths,
    connections,
    endQuestions,
    hasStoodStill,
    hasWay: (server) => !paths.isLost(server) || relayClient.hasPeer(server.upstreamId),
    tryServer: async (upstreamId) => {
      const own = await paths.tryPath(upstreamId);
      if (own === 'opened') return own;
      const told = await relayClient.askPath(upstreamId);
      return told === 'unknown' ? own : told;
    },
    handleMessage: (from, message) => {
      switch (message.kind) {
        case 'relay-send':
          relayServer.handleSend(from, message);
          return;
        case 'relay-event':
          relayClient.handleEvent(from, message.number, message.event);
          return;
        case 'relay-cancel':
          relayServer.handleCancel(from, message.number);
          return;
        case 'relay-flow':
          relayServer.handleFlow(from, message.number, message.isPaused);
          return;
        case 'path-question':
          relayServer.handleQuestion(from, message.number, message.upstreamId);
          return;
        case 'path-answer':
          relayClient.handleAnswer(from, message.number, message.answer);
          return;
        case 'end-question': {
          const { number, address, agoMs } = message;
          endQuestions.handleQuestion(from, number, address, agoMs);
          return;
        }
        case 'end-answer':
          endQuestions.handleAnswer(from, message.number, message);
          return;
        default:
          message satisfies never;
      }
    },
    isLinkUsed: (vmId) => relayClient.isUsing(vmId) || relayServer.isUsedBy(vmId),
    handleLinkEnded: (vmId) => {
      relayClient.handleLinkEnded(vmId);
      relayServer.handleLinkEnded(vmId);
    },
  };
}
