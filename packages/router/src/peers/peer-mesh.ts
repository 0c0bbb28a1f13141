/** Keeps links to entry VMs, to all listed ones or to chosen ones, and carries messages between them. */

import { createServer, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { WebSocket, WebSocketServer } from 'ws';
import {
  MAX_PEER_FRAME_BYTES,
  type Incarnation,
  type PeerMessage,
  type VmId,
} from '@tarragonspool/protocol';
import { closeSurplusConnections } from '../http/surplus-connections.js';
import { parseAddress } from '../http/parse-address.js';
import { listenPatiently } from '../http/patient-listener.js';
import type { Logger } from '../logging/logger.js';
import { getSteadyMs } from '../time/steady-clock.js';
import { makeDialSchedule } from './dial-schedule.js';
import { startPeerLink, type PeerIdentity, type PeerLink } from './peer-link.js';

/** Messages to and from peers. */
export type PeerMesh = {
  readonly links: ReadonlyMap<VmId, PeerLink>;
  readonly broadcast: (message: PeerMessage) => void;
  /** Sends a message; false if there is no link, or the peer's version does not know its kind. */
  readonly sendTo: (vmId: VmId, message: PeerMessage) => boolean;
  readonly close: () => void;
  /** Port that is listened on; undefined until then. */
  readonly getPort: () => number | undefined;
};

/** Times of the mesh, in milliseconds. */
export type PeerTimes = {
  readonly dialIntervalMs: number;
  readonly handshakeTimeoutMs: number;
  /** A link whose peer says nothing for this long is cut. */
  readonly silenceMs: number;
  /** A link that this VM dialled and that neither side needs any more is closed after this time. */
  readonly unusedMs: number;
};

/** A peer and where it listens. */
export type DialledVm = { readonly vmId: VmId; readonly peerAddress: string };

/** What the mesh works with. */
export type PeerMeshParts = {
  readonly self: PeerIdentity;
  readonly listen: { readonly host: string; readonly port: number };
  /** Whether an address that is not free is tried again; else the error is thrown at once. */
  readonly isPatient?: boolean;
  readonly secrets: readonly string[];
  readonly directory: { readonly entryVms: readonly DialledVm[] };
  /** VMs to keep links to; without it, links are kept to all, and the lesser id dials. */
  readonly listTargets?: (now: number) => readonly DialledVm[];
  /** Whether a link carries requests now, which would end with it. */
  readonly isLinkUsed?: (vmId: VmId) => boolean;
  /** VMs that need their links to this one, whichever side dialled them. */
  readonly listDependents?: (now: number) => readonly VmId[];
  readonly onDialFailed?: (vmId: VmId) => void;
  readonly metrics: { readonly peers: { readonly set: (count: number) => void } };
  readonly logger: Logger;
  readonly times?: Partial<PeerTimes>;
  readonly onOpen: (link: PeerLink) => void;
  readonly onMessage: (peer: PeerIdentity, message: PeerMessage) => void;
  readonly onGone: (vmId: VmId, incarnation: Incarnation) => void;
};

/** Connections that are no links yet; all VMs may dial at once. */
const MAX_UNLINKED_CONNECTIONS = 512;

const DEFAULT_TIMES: PeerTimes = {
  dialIntervalMs: 250,
  handshakeTimeoutMs: 3_000,
  silenceMs: 1_500,
  unusedMs: 10_000,
};

/** Keeps one link of each peer: of its newest incarnation, and of two such the one that the lesser id dialled. */
function makeLinkTable(parts: PeerMeshParts) {
  const { logger, metrics, self } = parts;
  const links = new Map<VmId, PeerLink>();
  const dialled = new Set<PeerLink>();

  function isPreferred(link: PeerLink): boolean {
    return dialled.has(link) === self.vmId < link.peer.vmId;
  }

  return {
    links,
    isDialled: (link: PeerLink): boolean => dialled.has(link),
    /** Whether a newer incarnation of the peer is linked. */
    isSuperseded: ({ peer }: PeerLink): boolean => {
      const known = links.get(peer.vmId);
      return known !== undefined && known.peer.incarnation > peer.incarnation;
    },
    add: (link: PeerLink, isDialled: boolean): void => {
      const { vmId, incarnation } = link.peer;
      const known = links.get(vmId);
      if (isDialled) dialled.add(link);
      if (known !== undefined && known.peer.incarnation > incarnation) {
        logger.info({ peer: vmId, incarnation }, 'peers: older incarnation turned away');
        link.close();
        return;
      }
      const isSecond = known !== undefined && known.peer.incarnation === incarnation;
      if (isSecond && isPreferred(known) && !isPreferred(link)) {
        logger.info({ peer: vmId }, 'peers: second link turned away');
        link.close();
        return;
      }
      links.set(vmId, link);
      known?.close();
      metrics.peers.set(links.size);
      logger.info({ peer: vmId }, 'peers: link opened');
      parts.onOpen(link);
    },
    remove: (link: PeerLink, detail: string): void => {
      const { vmId, incarnation } = link.peer;
      dialled.delete(link);
      if (links.get(vmId) !== link) return;
      links.delete(vmId);
      metrics.peers.set(links.size);
      logger.info({ peer: vmId, detail }, 'peers: link closed');
      parts.onGone(vmId, incarnation);
    },
  };
}

/** Cuts links whose peers are silent: their connection may be open on this side only. */
function makeSilenceCheck(links: ReadonlyMap<VmId, PeerLink>, times: PeerTimes) {
  let checkedAt = getSteadyMs();
  return (now: number): void => {
    // After a pause of this process, what peers sent meanwhile is still unread.
    const wasPaused = now - checkedAt > times.silenceMs / 2;
    checkedAt = now;
    if (wasPaused) return;
    for (const link of links.values()) {
      if (now - link.getHeardAt() > times.silenceMs) link.cut();
    }
  };
}

/** Closes dialled links to VMs that are no targets, and do not need them, for some time. */
function makeUnusedLinkCheck(
  { listTargets, listDependents, isLinkUsed, logger }: PeerMeshParts,
  table: ReturnType<typeof makeLinkTable>,
  unusedMs: number,
) {
  const neededAt = new Map<VmId, number>();
  return (now: number): void => {
    if (listTargets === undefined) return;
    for (const { vmId } of listTargets(now)) neededAt.set(vmId, now);
    for (const vmId of listDependents?.(now) ?? []) neededAt.set(vmId, now);
    for (const [vmId, link] of table.links) {
      if (!table.isDialled(link)) continue;
      const lastNeededAt = neededAt.get(vmId);
      // Without a time, its peer was no target any more when the link opened.
      if (lastNeededAt === undefined || isLinkUsed?.(vmId) === true) {
        neededAt.set(vmId, now);
        continue;
      }
      if (now - lastNeededAt < unusedMs) continue;
      logger.info({ peer: vmId }, 'peers: link is not needed any more');
      link.close();
    }
    for (const vmId of neededAt.keys()) if (!table.links.has(vmId)) neededAt.delete(vmId);
  };
}

function startServer(parts: PeerMeshParts, onSocket: (socket: WebSocket) => void): Server {
  const httpServer = createServer((_incoming, response) => {
    response.statusCode = 426;
    response.end();
  });
  closeSurplusConnections(httpServer, MAX_UNLINKED_CONNECTIONS);
  const server = new WebSocketServer({ server: httpServer, maxPayload: MAX_PEER_FRAME_BYTES });
  server.on('connection', onSocket);
  if (parts.isPatient === true) {
    // The listener handles the errors of its server, which come here as well.
    server.on('error', () => undefined);
    listenPatiently(httpServer, parts.listen, parts.logger);
  } else {
    httpServer.listen(parts.listen.port, parts.listen.host);
  }
  return httpServer;
}

/** Starts listening and dialling. */
export function startPeerMesh(parts: PeerMeshParts): PeerMesh {
  const { self, directory, logger } = parts;
  const times: PeerTimes = { ...DEFAULT_TIMES, ...parts.times };
  const table = makeLinkTable(parts);
  const { links, add, remove } = table;
  const dialling = new Set<VmId>();
  const schedule = makeDialSchedule();
  const checkSilence = makeSilenceCheck(links, times);
  const closeUnused = makeUnusedLinkCheck(parts, table, times.unusedMs);
  let isClosed = false;

  function runLink(
    socket: WebSocket,
    isDialled: boolean,
    onEnd: (link: PeerLink | undefined) => void,
  ): void {
    startPeerLink(
      socket,
      { self, secrets: parts.secrets, handshakeTimeoutMs: times.handshakeTimeoutMs },
      {
        onOpen: (link) => add(link, isDialled),
        onMessage: (link, message) => {
          // Its numbers mean other things to the newer incarnation, which would be answered.
          if (!table.isSuperseded(link)) parts.onMessage(link.peer, message);
        },
        onUnknownKind: ({ peer }, kind) => {
          logger.info({ peer: peer.vmId, kind }, 'peers: messages of an unknown kind are left out');
        },
        onClose: (link, detail) => {
          onEnd(link);
          if (link !== undefined) remove(link, detail);
          else logger.warn({ detail }, 'peers: handshake failed');
        },
      },
    );
  }

  function dial(vmId: VmId, address: string): void {
    dialling.add(vmId);
    logger.info({ peer: vmId }, 'peers: dialling');
    const fail = (): void => {
      dialling.delete(vmId);
      schedule.addFailure(vmId, getSteadyMs());
      parts.onDialFailed?.(vmId);
    };
    // The library throws for what is no URL.
    if (parseAddress(address) === undefined) {
      logger.warn({ peer: vmId, address }, 'peers: address is not IP:PORT');
      fail();
      return;
    }
    const socket = new WebSocket(`ws://${address}/peer`, {
      maxPayload: MAX_PEER_FRAME_BYTES,
      handshakeTimeout: times.handshakeTimeoutMs,
    });
    socket.once('error', fail);
    socket.once('open', () => {
      socket.off('error', fail);
      runLink(socket, true, (link) => {
        if (link === undefined) fail();
        else {
          dialling.delete(vmId);
          schedule.addSuccess(vmId);
        }
      });
    });
  }

  function listDialled(now: number): readonly DialledVm[] {
    if (parts.listTargets !== undefined) return parts.listTargets(now);
    return directory.entryVms.filter(({ vmId }) => vmId > self.vmId);
  }

  function dialMissing(now: number): void {
    for (const vm of listDialled(now)) {
      if (links.has(vm.vmId) || dialling.has(vm.vmId)) continue;
      if (schedule.isDue(vm.vmId, now)) dial(vm.vmId, vm.peerAddress);
    }
  }

  const httpServer = startServer(parts, (socket) => {
    if (isClosed) socket.terminate();
    else runLink(socket, false, () => undefined);
  });
  const runChecks = (): void => {
    const now = getSteadyMs();
    checkSilence(now);
    closeUnused(now);
    dialMissing(now);
  };
  const timer = setInterval(runChecks, times.dialIntervalMs);
  dialMissing(getSteadyMs());

  return {
    links,
    broadcast: (message) => {
      for (const link of links.values()) link.send(message);
    },
    sendTo: (vmId, message) => links.get(vmId)?.send(message) ?? false,
    close: () => {
      isClosed = true;
      clearInterval(timer);
      for (const link of links.values()) link.close();
      httpServer.close();
    },
    getPort: () => (httpServer.address() as AddressInfo | null)?.port,
  };
}
