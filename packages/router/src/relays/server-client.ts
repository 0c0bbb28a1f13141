/**
 * Sends requests to servers: over connections of this VM, or by way of a peer where these do not open. A send
 * goes the second way only while no byte of it has left this VM.
 */

import type { ClearedUpstream } from '@tarragonspool/core';
import type { UpstreamId, VmId } from '@tarragonspool/protocol';
import { startAdaptiveTicker } from '../tasks/timers.js';
import { getSteadyMs } from '../time/steady-clock.js';
import type {
  UpstreamClient,
  UpstreamEvent,
  UpstreamExchange,
} from '../upstreams/upstream-client.js';
import type { PathWatch } from './path-watch.js';
import type { RelayClient } from './relay-client.js';
import type { ServerCall } from './server-call.js';

/** Sends requests to servers by the way that works. */
export type ServerClient = {
  readonly send: (call: ServerCall, onEvent: (event: UpstreamEvent) => void) => UpstreamExchange;
  /** Sends over a connection of this VM or not at all. */
  readonly sendDirect: ServerClient['send'];
};

/** Dependencies of the client. */
export type ServerClientParts = {
  readonly direct: UpstreamClient;
  readonly paths: PathWatch;
  readonly relays: RelayClient;
};

/** A peer may send what takes longer, and the request is still served in time. */
const CONNECT_TIMEOUT_MS = 400;
/** Peers that may try one send. */
const MAX_RELAYS = 3;
/** A server that is silent for this long is checked: its connection may have lost its way. */
const SILENCE_CHECK_MS = 300;
const CHECK_INTERVAL_MS = 100;
const IDLE_CHECK_INTERVAL_MS = 1_000;

/** A send over a connection of this VM that is under way. */
type DirectSend = { readonly server: ClearedUpstream; readonly startedAt: number };

/** Makes the client of a VM. */
export function makeServerClient({ direct, paths, relays }: ServerClientParts): ServerClient {
  const open = new Set<DirectSend>();
  /** When this VM last heard each server that it sends to. */
  const heardAt = new Map<UpstreamId, number>();

  function checkSilent(): void {
    const silentSince = getSteadyMs() - SILENCE_CHECK_MS;
    if (open.size === 0) heardAt.clear();
    for (const { server, startedAt } of open) {
      const lastHeardAt = heardAt.get(server.upstreamId) ?? 0;
      if (startedAt < silentSince && lastHeardAt < silentSince) paths.checkSilent(server);
    }
  }

  const ticker = startAdaptiveTicker({
    busyMs: CHECK_INTERVAL_MS,
    idleMs: IDLE_CHECK_INTERVAL_MS,
    isBusy: () => open.size > 0,
    onTick: checkSilent,
  });

  function sendDirect(call: ServerCall, onEvent: (event: UpstreamEvent) => void): UpstreamExchange {
    const { server, requestId, method, path, headers, body, onSent } = call;
    const underWay: DirectSend = { server, startedAt: getSteadyMs() };
    open.add(underWay);
    ticker.wake();
    const exchange = direct.send(
      {
        address: server.address,
        requestId,
        method,
        path,
        headers,
        body,
        connectTimeoutMs: CONNECT_TIMEOUT_MS,
        onSent,
        onOpened: () => paths.recordOpened(server),
        onNotOpened: () => paths.recordNotOpened(server),
      },
      (event) => {
        if (event.kind === 'failed' || event.kind === 'ended') open.delete(underWay);
        if (event.kind === 'failed' && event.isSent) paths.checkSilent(server);
        if (event.kind === 'head' || event.kind === 'data') {
          heardAt.set(server.upstreamId, getSteadyMs());
          paths.recordHeard();
        }
        onEvent(event);
      },
    );
    return {
      ...exchange,
      cancel: () => {
        open.delete(underWay);
        exchange.cancel();
      },
    };
  }

  function send(call: ServerCall, onEvent: (event: UpstreamEvent) => void): UpstreamExchange {
    const tried = new Set<VmId>();
    let current: UpstreamExchange | undefined;
    let isOver = false;
    let isAborted = false;

    /** Passes an event on, unless another way may still be tried. */
    const onWayEvent = (event: UpstreamEvent): void => {
      const isUnsent = event.kind === 'failed' && !event.isSent;
      // eslint-disable-next-line @typescript-eslint/no-use-before-define -- the two call each other
      if (!isOver && !(isUnsent && startRelayed())) onEvent(event);
    };

    /** Begins the send by way of a peer; false if none may try it. */
    function startRelayed(): boolean {
      if (isAborted || tried.size >= MAX_RELAYS) return false;
      const exchange = relays.send(call, tried, onWayEvent);
      current = exchange ?? current;
      return exchange !== undefined;
    }

    function refuse(): void {
      setImmediate(() => {
        if (!isOver) onEvent({ kind: 'failed', isSent: false, reason: 'no way to the server' });
      });
    }

    const isSentByPeer = paths.isAvoided(call.server) && startRelayed();
    if (!isSentByPeer && paths.isLost(call.server)) refuse();
    else if (!isSentByPeer) current = sendDirect(call, onWayEvent);
    return {
      cancel: () => {
        isOver = true;
        current?.cancel();
      },
      abort: (reason) => {
        isAborted = true;
        current?.abort(reason);
      },
      pause: () => current?.pause(),
      resume: () => current?.resume(),
    };
  }

  return { send, sendDirect };
}
