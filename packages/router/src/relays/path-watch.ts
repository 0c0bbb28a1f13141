/**
 * Watches this VM's own way to each server: learns from connections that open or do not, tries the way of a
 * server that is silent, and tries lost ways again.
 */

import {
  forgetUnlistedPaths,
  isCutOff,
  isPathLost,
  listDuePaths,
  makeServerPaths,
  recordHeard,
  recordNotOpened,
  recordOpened,
  type PathServer,
  type UpstreamRecord,
} from '@tarragonspool/core';
import type { PathAnswer, UpstreamId } from '@tarragonspool/protocol';
import type { Logger } from '../logging/logger.js';
import { startAdaptiveTicker, type AdaptiveTicker } from '../tasks/timers.js';
import { getSteadyMs } from '../time/steady-clock.js';

/** The ways of this VM to servers. */
export type PathWatch = {
  /** Whether requests to a server are better sent by way of a peer. */
  readonly isAvoided: (server: PathServer) => boolean;
  /** Whether no connection to a server opened when that was last tried. */
  readonly isLost: (server: PathServer) => boolean;
  readonly isCutOff: () => boolean;
  readonly listLost: () => UpstreamId[];
  readonly recordOpened: (server: PathServer) => void;
  readonly recordNotOpened: (server: UpstreamRecord) => void;
  /** Records that bytes of a server arrived here on a connection of this VM. */
  readonly recordHeard: () => void;
  /** Tries the way of a server that is silent or broke off, unless that was done just now; returns whether it does. */
  readonly checkSilent: (server: UpstreamRecord) => boolean;
  /**
   * Opens a connection to a server to find out whether that works; `unknown` if none opens to another one
   * either, so that this VM may be cut off.
   */
  readonly tryPath: (upstreamId: UpstreamId) => Promise<PathAnswer>;
};

/** Dependencies of the watch. */
export type PathWatchParts = {
  readonly records: ReadonlyMap<UpstreamId, UpstreamRecord>;
  /** Returns whether an address takes a connection. */
  readonly probe: (address: string) => Promise<boolean>;
  /** Called when a way is lost, with the address whose idle connections are useless now. */
  readonly onLost: (server: UpstreamRecord) => void;
  readonly onCutOffChanged: (isCutOffNow: boolean) => void;
  readonly logger: Logger;
};

const TICK_MS = 100;
const IDLE_TICK_MS = 1_000;
/** Lost ways that peers are told of. */
const MAX_TOLD_SERVERS = 64;
/** Ways that are tried because another one was just lost. */
const MAX_OTHERS_TRIED = 8;
/** Attempts to open connections that a tick starts. */
const MAX_TRIES_PER_TICK = 3;
/** A way that was tried on suspicion is not tried again for this long. */
const CHECK_INTERVAL_MS = 1_000;

/** Makes the watch and starts its ticker. */
export function startPathWatch(parts: PathWatchParts): PathWatch {
  const { records, logger } = parts;
  const paths = makeServerPaths();
  const trying = new Map<UpstreamId, Promise<boolean>>();
  const checkedAt = new Map<UpstreamId, number>();
  const tickerHolder: { ticker: AdaptiveTicker | undefined } = { ticker: undefined };
  let wasCutOff = false;
  let hasLostOne = false;

  function handleOpened(server: PathServer): void {
    if (!recordOpened(paths, server, getSteadyMs())) return;
    logger.info({ upstreamId: server.upstreamId }, 'paths: connections to a server open again');
  }

  function handleNotOpened(server: UpstreamRecord): void {
    if (!recordNotOpened(paths, server, getSteadyMs())) return;
    const { upstreamId, address } = server;
    logger.warn({ upstreamId, address }, 'paths: no connection to a server opens');
    parts.onLost(server);
    hasLostOne = true;
    tickerHolder.ticker?.wake();
  }

  async function openAndRecord(server: UpstreamRecord): Promise<boolean> {
    const hasOpened = await parts.probe(server.address);
    if (hasOpened) handleOpened(server);
    else handleNotOpened(server);
    return hasOpened;
  }

  /** Opens a connection to a server; those who want to know at the same time share one. */
  function tryServer(server: UpstreamRecord): Promise<boolean> {
    const { upstreamId } = server;
    const known = trying.get(upstreamId);
    if (known !== undefined) return known;
    const attempt = openAndRecord(server).finally(() => trying.delete(upstreamId));
    trying.set(upstreamId, attempt);
    return attempt;
  }

  function startTry(server: UpstreamRecord): void {
    tryServer(server).catch((error: unknown) => {
      const { upstreamId } = server;
      logger.error({ upstreamId, err: error }, 'paths: a connection could not be tried');
    });
  }

  /** Finds a server whose way tells whether another one is down, of the same service if there is one. */
  function findControl({ upstreamId, service }: UpstreamRecord): UpstreamRecord | undefined {
    const others = [...records.values()].filter((server) => server.upstreamId !== upstreamId);
    const fellows = others.filter((server) => server.service === service);
    const controls = fellows.length > 0 ? fellows : others;
    return controls.find((server) => !isPathLost(paths, server)) ?? controls[0];
  }

  /** Tries the way of a server unless it is lost already or was tried just now; returns whether it does. */
  function checkServer(server: UpstreamRecord): boolean {
    const now = getSteadyMs();
    const { upstreamId } = server;
    if (isPathLost(paths, server)) return false;
    if (now - (checkedAt.get(upstreamId) ?? -Infinity) < CHECK_INTERVAL_MS) return false;
    checkedAt.set(upstreamId, now);
    startTry(server);
    return true;
  }

  /** Where one way is lost others may be: finds out before requests are sent there. */
  function checkOthers(): void {
    let count = 0;
    for (const server of records.values()) {
      if (checkServer(server)) count += 1;
      if (count >= MAX_OTHERS_TRIED) return;
    }
  }

  function tick(): void {
    forgetUnlistedPaths(paths, records);
    for (const upstreamId of checkedAt.keys()) {
      if (!records.has(upstreamId)) checkedAt.delete(upstreamId);
    }
    const due = listDuePaths(paths, getSteadyMs()).slice(0, MAX_TRIES_PER_TICK);
    for (const upstreamId of due) {
      const server = records.get(upstreamId);
      if (server !== undefined) startTry(server);
    }
    const isCutOffNow = isCutOff(paths);
    if (hasLostOne || isCutOffNow) checkOthers();
    hasLostOne = false;
    if (isCutOffNow === wasCutOff) return;
    wasCutOff = isCutOffNow;
    const lost = [...paths.lost.keys()];
    if (isCutOffNow) logger.warn({ lost }, 'paths: this VM seems to be cut off from all servers');
    else logger.info({ lost }, 'paths: this VM reaches servers again');
    parts.onCutOffChanged(isCutOffNow);
  }

  tickerHolder.ticker = startAdaptiveTicker({
    busyMs: TICK_MS,
    idleMs: IDLE_TICK_MS,
    isBusy: () => paths.lost.size > 0,
    onTick: tick,
  });

  return {
    isAvoided: (server) => isPathLost(paths, server) || isCutOff(paths),
    isLost: (server) => isPathLost(paths, server),
    isCutOff: () => wasCutOff,
    listLost: () => [...paths.lost.keys()].slice(0, MAX_TOLD_SERVERS),
    recordOpened: handleOpened,
    recordNotOpened: handleNotOpened,
    recordHeard: () => recordHeard(paths, getSteadyMs()),
    checkSilent: checkServer,
    tryPath: async (upstreamId) => {
      const server = records.get(upstreamId);
      if (server === undefined) return 'unknown';
      if (await tryServer(server)) return 'opened';
      const control = findControl(server);
      return control === undefined || (await tryServer(control)) ? 'not-opened' : 'unknown';
    },
  };
}
